#pragma once

#include "gateway/gateway_event.h"
#include "http/http_server.h"
#include "ranges/range_event.h"

#include <jasminespread/object_store.h>

#include <functional>
#include <string>
#include <variant>

namespace jasminespread {

/// What the gateway needs of the platform that it runs on. An adapter fills the hooks; they translate and decide
/// nothing. All hooks are called on the gateway's thread, and call back there.
struct GatewayPorts {
    /// What the adapter reports while the gateway runs.
    struct Callbacks {
        std::function<void(GatewayConfiguration&&)> configurationReceived;
        std::function<void(ServerList&&)> serversListed;
        /// The list of servers began to be answered by the store, or stopped.
        std::function<void(bool)> storeReachabilityChanged;
        /// How new the state of a feed is now, by an answer of the store or by apply().
        std::function<void(const std::string& feed, FeedRevision revision, bool byStore)> feedRevisionKnown;
        /// A watch brought changes, for instances that do not watch themselves.
        std::function<void(FeedChange&&)> feedChanged;
    };

    std::string readinessPath; ///< Where the balancer asks whether this instance is ready.
    std::function<std::variant<GatewayRequest, CallerAnswer>(RawRequest&&)> decodeRequest;
    std::function<CallerAnswer(AnswerRequest&&)> encodeAnswer;
    std::function<BackendRequest(const SendToServer&)> encodeSend;
    std::function<ServerAnswer(BackendResult&&)> decodeServerAnswer;
    std::function<BackendRequest(const GrantRange&, MonotonicTime deadline)> encodeGrant;
    std::function<BackendRequest(const ReleaseRange&, MonotonicTime deadline)> encodeRelease;
    std::function<RangeCallEnded(std::uint64_t call, const BackendResult&)> decodeGrantAnswer;
    ObjectStore records; ///< Stored records of the product; `list` and `instances` are empty.
    std::function<void(Callbacks)> start; ///< Called once, before any other hook.
    /// Says where the feeds are followed from now on; at first it is the store.
    std::function<void(FeedSource)> setFeedSource;
    /// Applies changes that another instance passed on. Changes that do not fit the known state are left out.
    std::function<void(const FeedChange&)> applyFeedChange;
    /// Asks the store once for the changes of a feed.
    std::function<void(const std::string& feed)> fetchFeed;
};

} // namespace jasminespread
