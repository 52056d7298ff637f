#pragma once

#include "http/http_server.h"
#include "ranges/key_range.h"

#include <jasminespread/time.h>

#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminespread::test {

/// Runs the default main context until @p condition holds; false after @p timeout.
[[nodiscard]] bool runUntil(Milliseconds timeout, const std::function<bool()>& condition);

/// Fake of the platform's object store with its HTTP API. Runs in the test process on the default main context.
class StoreFake {
public:
    /// Serving, answering 503 to every call, or answering nothing.
    enum class Mode : std::uint8_t { Serving, Unavailable, Unresponsive };

    explicit StoreFake(const std::string& address);

    /// Creates or replaces an object, as an operator or a server would, and answers the watches that it concerns.
    void put(const std::string& kind, const std::string& name, const boost::json::value& spec);
    void remove(const std::string& kind, const std::string& name);
    void setMode(Mode mode);
    /// Ends the watches that wait without a result.
    void failWatches();
    /// Drops the history: watches from an earlier revision are answered with status 410.
    void compact() { m_oldestRevision = m_revision; }
    /// Remembers the present state as a copy.
    void takeCopy() { m_copy = {m_objects, m_history, m_revision}; }
    /// Returns to the copy and begins a new era: its revisions are assigned again, and watches from later ones are
    /// answered with status 410.
    void restoreCopy();
    /// Content of an object; nullptr when there is none.
    [[nodiscard]] const boost::json::value* spec(const std::string& kind, const std::string& name) const;
    /// Number of calls received.
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        boost::json::value spec;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool deleted = false;
        boost::json::value object;
    };
    struct Copy {
        std::map<std::string, std::map<std::string, Object>> objects;
        std::vector<Change> history;
        std::uint64_t revision = 0;
    };
    struct Watch {
        std::uint64_t request = 0;
        std::string kind;
        std::uint64_t from = 0;
        MonotonicTime until;
    };

    void onRequest(std::uint64_t request, RawRequest&& raw);
    void list(std::uint64_t request, const std::string& kind, const std::string& after);
    void read(std::uint64_t request, const std::string& kind, const std::string& name);
    void write(std::uint64_t request, const std::string& kind, const RawRequest& raw);
    void answerWatches();
    void answer(std::uint64_t request, unsigned status, const boost::json::value& body);
    [[nodiscard]] static boost::json::value encode(const std::string& name, const Object& object);
    void appendToHistory(const std::string& kind, const std::string& name, bool deleted);

    std::map<std::string, std::map<std::string, Object>> m_objects; ///< By kind and name.
    std::vector<Change> m_history;
    std::list<Watch> m_watches;
    std::uint64_t m_revision = 100;
    std::uint64_t m_oldestRevision = 0;
    Copy m_copy;
    std::uint64_t m_era = 0;
    std::uint64_t m_calls = 0;
    Mode m_mode = Mode::Serving;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true); ///< Ends with this object.
    HttpServer m_server;
};

/// Fake backend server of the platform: answers requests with a seal and accepts grants of key ranges.
class ServerFake {
public:
    ServerFake(std::string id, const std::string& address, bool keyed);

    /// Returns the server's entry for the store.
    [[nodiscard]] boost::json::value storeEntry(const std::string& service, const std::string& state = "ready") const;
    /// Delays the answer to each request by @p serviceTime.
    void setServiceTime(Milliseconds serviceTime) { m_serviceTime = serviceTime; }
    /// Adds the field Server-Leaving with @p value to all answers; empty: to none.
    void stateLeaving(const std::string& value) { m_leavingValue = value; }
    /// Refuses requests with status 503 and the field Retry-After with @p retryAfter for @p duration from now.
    void refuse(const std::string& retryAfter, Milliseconds duration);
    /// Executes requests and answers them with @p status and without a statement that they were not executed.
    void failAfterExecution(unsigned status) { m_statusAfterExecution = status; }
    /// Ends as a process and starts again with the same id: it holds no keys, and its entry has a later start.
    void restart();
    /// A request that arrived, executed or not.
    struct Arrival {
        std::string requestId;
        MonotonicTime at;
    };
    [[nodiscard]] const std::vector<Arrival>& arrivals() const { return m_arrivals; }
    /// Ids of the requests that this server executed.
    [[nodiscard]] const std::vector<std::string>& executedRequests() const { return m_executedRequests; }
    /// Returns whether a granted range that has not expired contains @p key.
    [[nodiscard]] bool holdsKey(std::uint32_t key) const;
    [[nodiscard]] const std::string& id() const { return m_id; }

private:
    struct HeldRange {
        KeyRange range;
        std::uint64_t fence = 0;
        MonotonicTime until;
    };

    void onRequest(std::uint64_t request, RawRequest&& raw);
    void grant(std::uint64_t request, const RawRequest& raw);
    void release(std::uint64_t request, const RawRequest& raw);
    void reply(std::uint64_t request, unsigned status, std::vector<HeaderField> headers, const std::string& body = "");

    std::string m_id;
    std::string m_address;
    bool m_keyed;
    Milliseconds m_serviceTime {0};
    std::vector<HeldRange> m_heldRanges;
    std::uint64_t m_highestFence = 0;
    std::vector<std::string> m_executedRequests; ///< Request ids.
    std::vector<Arrival> m_arrivals;
    std::string m_leavingValue;
    std::string m_retryAfter;
    MonotonicTime m_refusesUntil;
    unsigned m_statusAfterExecution = 200;
    std::uint64_t m_bornAt = 1789;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true); ///< Ends with this object.
    HttpServer m_server;
};

} // namespace jasminespread::test
