#pragma once

#include "gateway/gateway_event.h"
#include "gateway/server_registration.h"
#include "http/http_server.h"
#include "ranges/range_event.h"

#include <jasminespread/object_store.h>

#include <functional>
#include <set>
#include <string>
#include <variant>

namespace jasminespread {

/// Interface between the gateway and the platform that it runs on. An adapter sets the hooks, which translate formats
/// and take no decisions. All hooks are called on the gateway's thread and invoke their callbacks there.
struct GatewayPorts {
    /// Called by the adapter while the gateway runs.
    struct Callbacks {
        std::function<void(GatewayConfiguration&&)> configurationReceived;
        /// The list changed. Called before feedRevisionKnown() for the same change.
        std::function<void(ServerRegistrations&&)> serversListed;
        /// The failure domains whose servers must get nothing changed, or are known for the first time.
        std::function<void(std::set<std::string>&&)> evacuationsListed;
        /// The store became reachable (true) or unreachable, as seen by calls for the server list.
        std::function<void(bool)> storeReachabilityChanged;
        /// The state of a feed is up to date as of a revision. @p byStore is true when an answer of the store showed
        /// it, false when applyFeedChange() brought it up to date.
        std::function<void(const std::string& feed, FeedRevision revision, bool byStore)> feedRevisionKnown;
        /// A watch returned changes that are to be passed on to instances without a watch of their own.
        std::function<void(FeedChange&&)> feedChanged;
        /// The next list of servers is the first one after the store was restored from an earlier copy.
        std::function<void()> storeRestored;
    };

    std::string serverFeed; ///< Name of the feed that serversListed() reports.
    std::string evacuationFeed; ///< Name of the feed that evacuationsListed() reports.
    std::string readinessPath; ///< Path of the load balancer's readiness check.
    /// Returns an answer instead of a request when the caller's request is malformed.
    std::function<std::variant<GatewayRequest, CallerAnswer>(RawRequest&&)> decodeRequest;
    std::function<CallerAnswer(AnswerRequest&&)> encodeAnswer;
    std::function<BackendRequest(const SendToServer&)> encodeSend;
    std::function<ServerAnswer(BackendResult&&)> decodeServerAnswer;
    std::function<BackendRequest(const GrantRange&, MonotonicTime deadline)> encodeGrant;
    std::function<BackendRequest(const ReleaseRange&, MonotonicTime deadline)> encodeRelease;
    std::function<RangeCallEnded(std::uint64_t call, const BackendResult&)> decodeGrantAnswer;
    ObjectStore records; ///< The gateway's own records; `list` and `instances` are empty.
    std::function<void(Callbacks)> start; ///< Called once, before any other hook.
    /// Sets where feed changes come from; initially the store.
    std::function<void(FeedSource)> setFeedSource;
    /// Applies changes that another instance passed on. Changes that do not follow on the known state are ignored.
    std::function<void(const FeedChange&)> applyFeedChange;
    /// Requests the changes of a feed from the store once.
    std::function<void(const std::string& feed)> fetchFeed;
};

} // namespace jasminespread
