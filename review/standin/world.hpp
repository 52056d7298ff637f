// Stand-ins for the users' platform (store, operator), for backend servers and for clients, for the cases in review/.
// They follow PROTOCOL.md; where a page is silent they behave like a sound server, client or platform. The gateways are
// the project's own processes, started with the command of deploy/system.toml.
#pragma once

#include <arpa/inet.h>
#include <boost/json.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace world {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point startOfRun = Clock::now();

/// Milliseconds since the start of the run.
inline double nowMs() { return std::chrono::duration<double, std::milli>(Clock::now() - startOfRun).count(); }

inline void sleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

/// record.txt: what was sent, answered and run.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ms  ", nowMs());
        m_file << time << text << '\n';
    }
    void flush()
    {
        const std::lock_guard lock(m_mutex);
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Message {
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        for (const auto& [n, v] : headers) {
            if (strcasecmp(n.c_str(), name.c_str()) == 0) {
                return v;
            }
        }
        return "";
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const std::size_t a = first.find(' ') + 1;
        return first.substr(a, first.find(' ', a) - a);
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

inline sockaddr_in addressOf(const std::string& text)
{
    sockaddr_in a {};
    a.sin_family = AF_INET;
    const std::size_t colon = text.find(':');
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &a.sin_addr);
    a.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return a;
}

/// Reads one message; false at the end of the connection, on an error, or after `timeoutMs`.
inline bool readMessage(int fd, std::string& buffer, Message& message, double timeoutMs = 1e9)
{
    const double until = nowMs() + timeoutMs;
    const auto more = [&] {
        pollfd p {fd, POLLIN, 0};
        const double left = until - nowMs();
        if (left <= 0 || poll(&p, 1, static_cast<int>(std::min(left, 1e6))) <= 0) {
            return false;
        }
        char bytes[8192];
        const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    message = Message();
    std::size_t at = buffer.find("\r\n");
    message.first = buffer.substr(0, at);
    while (at < end) {
        const std::size_t next = buffer.find("\r\n", at + 2);
        const std::string row = buffer.substr(at + 2, next - at - 2);
        const std::size_t colon = row.find(':');
        if (colon != std::string::npos) {
            std::size_t v = colon + 1;
            while (v < row.size() && row[v] == ' ') {
                ++v;
            }
            message.headers.emplace_back(row.substr(0, colon), row.substr(v));
        }
        at = next;
    }
    const std::string length = message.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < end + 4 + size) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return true;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(n);
    }
    return true;
}

inline std::string answerText(
    int status, const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [n, v] : headers) {
        text += n + ": " + v + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on an address and runs a handler for each in a thread of its own.
class Listener {
public:
    using Handler = std::function<void(int fd)>;
    Listener(const std::string& address, Handler handler)
        : m_handler(std::move(handler))
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in a = addressOf(address);
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(m_fd, 128) != 0) {
            std::cerr << "cannot listen on " << address << ": " << std::strerror(errno) << '\n';
            std::_Exit(2);
        }
        std::thread([this] { accept(); }).detach();
    }
    /// Ends all connections, with a reset, as the crash of a process does.
    void resetConnections()
    {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open) {
            const linger reset {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(fd, SHUT_RDWR);
        }
    }
    /// While set, new connections are accepted and reset at once: no process listens.
    std::atomic<bool> down {false};

private:
    void accept()
    {
        for (;;) {
            const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            if (down) {
                const linger reset {1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                close(fd);
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_handler(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
    }
    Handler m_handler;
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<int> m_open;
};

/// The platform's store.
class Store {
public:
    /// How the store treats the machines that use one of its addresses: it serves them, answers 503, or resets.
    enum Mode { Serving, Busy, Reset };

    explicit Store(Record& record)
        : m_record(record)
    {
    }
    /// Listens on an address; each gateway uses one of its own, so that the store can turn single machines away.
    void listen(const std::string& address)
    {
        auto door = std::make_shared<Door>();
        m_doors[address] = door;
        door->listener = std::make_unique<Listener>(address, [this, door = door.get()](int fd) { serve(fd, *door); });
    }
    void turnAway(const std::string& address, Mode mode)
    {
        Door& door = *m_doors.at(address);
        door.mode = mode;
        door.listener->down = mode == Reset;
        if (mode == Reset) {
            door.listener->resetConnections();
        }
    }
    /// A write of the operator or of a server, without a condition.
    void put(const std::string& kind, const std::string& name, const json::value& spec)
    {
        const std::lock_guard lock(m_mutex);
        putLocked(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_objects[kind].contains(name)) {
            return;
        }
        ++m_revision;
        m_history.push_back({m_revision, kind, json::object {{"object", encode(kind, name)}, {"deleted", true}}});
        m_objects[kind].erase(name);
        m_changed.notify_all();
    }
    std::string leader()
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects["jasminespread"].find("leader");
        return it == m_objects["jasminespread"].end() ? "" : json::serialize(it->second.spec);
    }
    std::size_t count(const std::string& kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind].size();
    }

private:
    struct Object {
        std::uint64_t rev = 0;
        std::uint64_t createRev = 0;
        json::value spec;
    };
    struct Change {
        std::uint64_t rev;
        std::string kind;
        json::value event;
    };
    json::value encode(const std::string& kind, const std::string& name)
    {
        const Object& o = m_objects[kind][name];
        return json::object {{"metadata",
                                 {{"name", name}, {"rev", o.rev}, {"createRev", o.createRev},
                                     {"finalizers", json::array()}, {"deleting", false}}},
            {"spec", o.spec}, {"status", nullptr}};
    }
    void putLocked(const std::string& kind, const std::string& name, const json::value& spec)
    {
        Object& o = m_objects[kind][name];
        if (o.rev != 0 && o.spec == spec) {
            return;
        }
        o.rev = ++m_revision;
        o.createRev = o.createRev == 0 ? o.rev : o.createRev;
        o.spec = spec;
        m_history.push_back({m_revision, kind, json::object {{"object", encode(kind, name)}, {"deleted", false}}});
        m_changed.notify_all();
    }
    static std::string query(const std::string& target, const std::string& name)
    {
        const std::size_t q = target.find('?');
        if (q == std::string::npos) {
            return "";
        }
        const std::string text = "&" + target.substr(q + 1);
        const std::size_t at = text.find("&" + name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t begin = at + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }
    struct Door {
        std::atomic<Mode> mode {Serving};
        std::unique_ptr<Listener> listener;
    };
    void serve(int fd, Door& door)
    {
        std::string buffer;
        Message m;
        while (readMessage(fd, buffer, m)) {
            int status = 503;
            const std::string body = door.mode == Busy ? "{}" : handle(m, status = 200);
            sleepMs(4); // 4 ms an answer
            if (!sendAll(fd, answerText(status, {{"Content-Type", "application/json"}}, body))) {
                return;
            }
        }
    }
    std::string handle(const Message& m, int& status)
    {
        const std::string target = m.target();
        std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/api/objects/";
        path = path.substr(std::min(path.size(), prefix.size()));
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (m.method() == "GET" && name.empty()) {
            const std::string watch = query(target, "watch");
            if (watch.empty()) {
                const std::string after = query(target, "after");
                json::array items;
                for (const auto& [n, o] : m_objects[kind]) {
                    if (n > after) {
                        items.push_back(encode(kind, n));
                    }
                }
                return json::serialize(
                    json::object {{"items", std::move(items)}, {"hasMore", false}, {"atRev", m_revision}});
            }
            const std::uint64_t from = std::stoull(watch);
            const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(query(target, "waitMs")));
            json::array events;
            const auto collect = [&] {
                for (const Change& c : m_history) {
                    if (c.rev > from && c.kind == kind) {
                        events.push_back(c.event);
                    }
                }
                return !events.empty();
            };
            while (!collect() && Clock::now() < until) {
                m_changed.wait_until(lock, until);
            }
            return json::serialize(json::object {{"events", std::move(events)}, {"atRev", m_revision}});
        }
        if (m.method() == "GET") {
            if (!m_objects[kind].contains(name)) {
                status = 404;
                return "{}";
            }
            return json::serialize(encode(kind, name));
        }
        const json::object body = m.body.empty() ? json::object() : json::parse(m.body).as_object();
        const json::object& meta = body.at("metadata").as_object();
        name = std::string(meta.at("name").as_string());
        const bool exists = m_objects[kind].contains(name);
        const json::value* rev = meta.if_contains("rev");
        if (m.method() == "POST" ? exists
                                 : exists && rev && rev->to_number<std::uint64_t>() != m_objects[kind][name].rev) {
            status = 409;
            return json::serialize(encode(kind, name));
        }
        if (m.method() == "PUT" && !exists) {
            status = 404;
            return "{}";
        }
        putLocked(kind, name, body.at("spec"));
        m_record.line("store: written " + kind + "/" + name + " rev " + std::to_string(m_revision));
        return json::serialize(encode(kind, name));
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::shared_ptr<Door>> m_doors;
};

/// One span of time in which a life of an endpoint held keys.
struct Hold {
    std::string process; ///< "id/born"
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::uint64_t fence = 0;
    double start = 0;
    double end = 0;
    double plannedEnd = 0; ///< When it would have run out by itself.
    bool renewal = false;
};

/// One run of a request.
struct Run {
    std::string process;
    std::string id;
    std::uint32_t key = 0;
    double start = 0;
    double end = 0;
};

/// A backend server. Answers an extra, late copy of an answer where `extraLate` says so.
class Endpoint {
public:
    struct Behaviour {
        bool sharded = true;
        int slots = 6;
        int queue = 24;
        double workMs = 60;
        /// Whether the answer to this call is followed by a second copy, late: in front of the next answer on the
        /// connection (PROTOCOL.md, "Endpoints").
        std::function<bool(const Endpoint&, const Message&)> extraLate;
    };

    Endpoint(std::string id, std::string service, std::string address, Behaviour behaviour, Record& record)
        : id(std::move(id))
        , service(std::move(service))
        , address(std::move(address))
        , m_behaviour(std::move(behaviour))
        , m_record(record)
    {
        born = unixMs();
        m_listener = std::make_unique<Listener>(this->address, [this](int fd) { serve(fd); });
    }

    static std::uint64_t unixMs()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

    json::value beat()
    {
        const std::lock_guard lock(m_mutex);
        return json::object {{"service", service}, {"address", address}, {"zone", "colombo-a"}, {"version", "v1"},
            {"slots", m_behaviour.slots}, {"state", state}, {"warmupLeftMs", 0}, {"sequence", ++m_sequence},
            {"born", born}};
    }

    /// The process ends without a word.
    void crash()
    {
        const std::lock_guard lock(m_mutex);
        m_record.line("endpoint " + process() + " crashes");
        const double now = nowMs();
        for (Hold& h : holds) {
            if (h.process == process()) {
                h.end = std::min(h.end, std::max(now, h.start));
            }
        }
        ++m_life;
        alive = false;
        m_listener->down = true;
        m_listener->resetConnections();
    }

    /// A new process under the same id; it holds and knows nothing of before.
    void startAgain()
    {
        const std::lock_guard lock(m_mutex);
        born = unixMs();
        m_sequence = 0;
        m_running = 0;
        m_queued = 0;
        m_highest.clear();
        m_inWork.clear();
        state = "ready";
        alive = true;
        m_listener->down = false;
        m_record.line("endpoint " + process() + " starts");
    }

    /// The ranges that it holds, as they were granted or renewed last, in order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> heldRanges()
    {
        const std::lock_guard lock(m_mutex);
        std::map<std::uint32_t, std::pair<double, std::uint32_t>> newest; ///< Start and last key by first key.
        for (const Hold& h : holds) {
            if (h.process == process() && h.end > nowMs()) {
                newest[h.from] = std::max(newest[h.from], {h.start, h.to});
            }
        }
        std::vector<std::pair<std::uint32_t, std::uint32_t>> ranges;
        for (const auto& [from, range] : newest) {
            if (ranges.empty() || from > ranges.back().second) {
                ranges.emplace_back(from, range.second);
            }
        }
        return ranges;
    }
    /// Number of ranges that it holds.
    std::size_t rangesHeld()
    {
        const std::lock_guard lock(m_mutex);
        std::set<std::uint32_t> first;
        for (const Hold& h : holds) {
            if (h.process == process() && h.end > nowMs()) {
                first.insert(h.from);
            }
        }
        return first.size();
    }
    /// Number of releases that it was told since `ms`.
    std::size_t releasesSince(double ms)
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(
            std::count_if(m_releases.begin(), m_releases.end(), [ms](double at) { return at >= ms; }));
    }

    std::string process() const { return id + "/" + std::to_string(born % 10000000); }
    void setWork(double ms) { m_behaviour.workMs = ms; }

    const std::string id;
    const std::string service;
    const std::string address;
    std::uint64_t born = 0;
    std::string state = "ready";
    std::atomic<bool> alive {true};
    std::atomic<int> releasesInProgress {0};
    std::vector<Hold> holds; ///< Guarded by the mutex; read at the end.
    std::vector<Run> runs;
    std::vector<std::pair<double, std::string>> arrivals; ///< Times and ids of requests that arrived.
    std::mutex& mutex() { return m_mutex; }

private:
    bool holdsKey(std::uint32_t key, double now) const
    {
        for (const Hold& h : holds) {
            if (h.process == process() && h.from <= key && key <= h.to && h.start <= now && now < h.end) {
                return true;
            }
        }
        return false;
    }

    /// Ends the holds on [from, to] at `now`.
    void endHolds(std::uint32_t from, std::uint32_t to, double now)
    {
        std::vector<Hold> parts;
        for (Hold& h : holds) {
            if (h.process != process() || h.end <= now || h.to < from || to < h.from) {
                continue;
            }
            if (h.from < from) {
                Hold left = h;
                left.to = from - 1;
                parts.push_back(left);
            }
            if (h.to > to) {
                Hold right = h;
                right.from = to + 1;
                parts.push_back(right);
            }
            h.from = std::max(h.from, from);
            h.to = std::min(h.to, to);
            h.end = now;
        }
        holds.insert(holds.end(), parts.begin(), parts.end());
    }

    void serve(int fd)
    {
        std::string buffer;
        std::string pendingExtra; ///< Copy of an earlier answer that goes out in front of the next one.
        Message m;
        while (readMessage(fd, buffer, m)) {
            if (!pendingExtra.empty()) {
                m_record.line("endpoint " + id + ": extra, late answer goes out in front of the answer to " + m.first);
                sendAll(fd, std::exchange(pendingExtra, ""));
            }
            const std::string answer = handle(m);
            if (answer.empty() || !sendAll(fd, answer)) {
                return;
            }
            if (m_behaviour.extraLate && m_behaviour.extraLate(*this, m)) {
                pendingExtra = answer;
            }
        }
    }

    std::string handle(const Message& m)
    {
        const std::string path = m.target();
        const std::string expected = m.header("Expect-Instance");
        if (!expected.empty() && expected != id) {
            return answerText(421, {{"Instance-Id", id}}, "");
        }
        if (path == "/api/grant" || path == "/api/release") {
            const json::object body = json::parse(m.body).as_object();
            const auto from = body.at("from").to_number<std::uint32_t>();
            const auto to = body.at("to").to_number<std::uint32_t>();
            const auto fence = body.at("fence").to_number<std::uint64_t>();
            return path == "/api/grant" ? grant(from, to, fence, body.at("holdMs").to_number<double>())
                                        : release(from, to);
        }
        return request(m);
    }

    std::string grant(std::uint32_t from, std::uint32_t to, std::uint64_t fence, double holdMs)
    {
        const std::lock_guard lock(m_mutex);
        const double now = nowMs();
        for (const auto& [range, seen] : m_highest) {
            if (range.first <= to && from <= range.second && seen > fence) {
                m_record.line("endpoint " + process() + " refuses grant " + std::to_string(from) + "-"
                    + std::to_string(to) + " fence " + std::to_string(fence));
                return answerText(409, {}, "");
            }
        }
        m_highest[{from, to}] = std::max(m_highest[{from, to}], fence);
        const bool renewal = holdsKey(from, now) && holdsKey(to, now);
        holds.push_back({process(), from, to, fence, now, now + holdMs, now + holdMs, renewal});
        if (!renewal) {
            m_record.line("endpoint " + process() + " takes keys " + std::to_string(from) + "-" + std::to_string(to)
                + " fence " + std::to_string(fence));
        }
        return answerText(200, {}, "");
    }

    std::string release(std::uint32_t from, std::uint32_t to)
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t life = m_life;
        m_record.line("endpoint " + process() + " is told to release " + std::to_string(from) + "-" + std::to_string(to));
        endHolds(from, to, nowMs());
        ++releasesInProgress;
        m_releases.push_back(nowMs());
        const auto busy = [&] {
            for (const auto& [id, key] : m_inWork) {
                if (from <= key && key <= to) {
                    return true;
                }
            }
            return false;
        };
        while (busy() && life == m_life) {
            m_changed.wait(lock);
        }
        --releasesInProgress;
        if (life != m_life) {
            return "";
        }
        m_record.line("endpoint " + process() + " has released " + std::to_string(from) + "-" + std::to_string(to));
        char handover[32];
        std::snprintf(handover, sizeof handover, "%08llx%04x", static_cast<unsigned long long>(born & 0xffffffff),
            static_cast<unsigned>(++m_handovers));
        return answerText(200, {{"Handover", handover}}, "");
    }

    std::string request(const Message& m)
    {
        const std::string rid = m.header("Request-Id");
        const std::string keyText = m.header("Shard-Key");
        const std::uint32_t key = keyText.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(keyText));
        std::unique_lock lock(m_mutex);
        arrivals.emplace_back(nowMs(), rid);
        const std::uint64_t life = m_life;
        const double until = nowMs() + std::stod(m.header("Deadline-Ms").empty() ? "2000" : m.header("Deadline-Ms"));
        if (m_running >= m_behaviour.slots) {
            if (m_queued >= m_behaviour.queue) {
                return answerText(503, {{"Request-Id", rid}, {"Not-Executed", "1"}}, "");
            }
            ++m_queued;
            while (m_running >= m_behaviour.slots && life == m_life && nowMs() < until) {
                m_changed.wait_for(lock, 20ms);
            }
            if (life == m_life) {
                --m_queued;
            }
            if (nowMs() >= until) {
                return answerText(503, {{"Request-Id", rid}, {"Not-Executed", "1"}}, "");
            }
        }
        if (life != m_life) {
            return "";
        }
        if (m_behaviour.sharded && !holdsKey(key, nowMs())) {
            return answerText(421, {{"Request-Id", rid}, {"Not-Executed", "1"}, {"Instance-Id", id}}, "");
        }
        ++m_running;
        m_inWork[rid] = key;
        Run run {process(), rid, key, nowMs(), 0};
        const double workMs = m_behaviour.workMs;
        lock.unlock();
        sleepMs(std::min(workMs, std::max(0.0, until - nowMs())));
        lock.lock();
        if (life != m_life) {
            return "";
        }
        run.end = nowMs();
        runs.push_back(run);
        m_record.line("endpoint " + process() + " ran " + rid + " key " + std::to_string(key) + " from "
            + std::to_string(static_cast<long>(run.start)));
        --m_running;
        m_inWork.erase(rid);
        m_changed.notify_all();
        return answerText(200, {{"Request-Id", rid}, {"Response-Seal", "seal-" + id + "-" + rid}}, "done by " + id);
    }

    Behaviour m_behaviour;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_life = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_handovers = 0;
    std::vector<double> m_releases;
    int m_running = 0;
    int m_queued = 0;
    std::map<std::string, std::uint32_t> m_inWork;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> m_highest; ///< Highest fence seen, by range.
    std::unique_ptr<Listener> m_listener;
};

/// A process of the project.
class Gateway {
public:
    Gateway(std::string program, std::string folder, std::string node, std::string ip, std::string storeAddress)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , node(std::move(node))
        , ip(std::move(ip))
        , m_store(std::move(storeAddress))
    {
    }
    ~Gateway() { kill(SIGKILL); }
    void start()
    {
        const std::string file = m_folder + "/" + node + ".conf";
        std::ofstream(file) << "self.node=" << node << "\nself.role=gateway\nself.machineClass=edge\nself.serves=edge\n"
                            << "self.ip=" << ip << "\nself.zone=colombo-a\nself.region=western\n"
                            << "self.limits.cpuShare=0.2\nself.limits.cores=1\nself.limits.memoryMb=260\n"
                            << "self.limits.maxFds=4100\nnetwork.listen.front=" << front() << "\nnetwork.listen.ready="
                            << ready() << "\nnetwork.internalPorts=7200,7215\nnetwork.zones.colombo-a=western\n"
                            << "platform.heartbeatMs=870\nplatform.platform.address=" << m_store
                            << "\nplatform.platform.form=objects\nplatform.platform.writesPerS=400\n"
                            << "platform.platform.readsPerS=2000\nterms.bounds.retryBudgetRatio=0.2\n"
                            << "terms.bounds.budgetWindowS=10\nterms.bounds.budgetSlack=56\nterms.bounds.drainMs=2000\n"
                            << "terms.bounds.graceS=6\nterms.bounds.holdMaxMs=10000\n";
        const std::string log = m_folder + "/" + node + ".log";
        const std::string setting = "JASMINESPREAD_NODE_FILE=" + file;
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with the test, however that ends.
            const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            const char* arguments[] = {m_program.c_str(), nullptr};
            const char* environment[] = {setting.c_str(), "PATH=/usr/bin:/bin", nullptr};
            execve(m_program.c_str(), const_cast<char**>(arguments), const_cast<char**>(environment));
            _exit(127);
        }
    }
    void kill(int signal)
    {
        if (pid > 0) {
            ::kill(pid, signal);
            if (signal == SIGKILL) {
                waitpid(pid, nullptr, 0);
                pid = -1;
            }
        }
    }
    std::string front() const { return ip + ":8381"; }
    std::string ready() const { return ip + ":8388"; }
    const std::string& store() const { return m_store; }

private:
    std::string m_program;
    std::string m_folder;

public:
    const std::string node;
    const std::string ip;
    pid_t pid = -1;

private:
    std::string m_store;
};

/// Sends one request on a new connection; status 0: no answer.
inline Message call(const std::string& address, const std::string& head, const std::string& body, double timeoutMs)
{
    Message answer;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = addressOf(address);
    timeval t {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
    std::string buffer;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0
        || !sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        || !readMessage(fd, buffer, answer, timeoutMs)) {
        answer = Message();
    }
    close(fd);
    return answer;
}

inline std::string hex(std::uint64_t n)
{
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}

inline json::object route(
    const std::string& path, const std::string& kind, const std::string& service, int timeoutMs, int targetMs)
{
    return json::object {{"host", "a.example"}, {"pathPrefix", path}, {"kind", kind}, {"timeoutMs", timeoutMs},
        {"targetLatencyMs", targetMs}, {"priority", 1}, {"service", service}, {"maxAttempts", 2}};
}

inline json::object limits()
{
    return json::object {
        {"maxHeaderBytes", 16384}, {"maxBodyBytes", 1048576}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
}

/// A conflict: two lives of endpoints that are up held the same keys.
struct Overlap {
    std::string a;
    std::string b;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    double start = 0;
    double end = 0;
};

/// All spans in which two different processes held the same keys, for at least `minMs`.
inline std::vector<Overlap> overlaps(const std::vector<Hold>& holds, double minMs)
{
    std::set<std::uint32_t> cuts {0, 65536};
    for (const Hold& h : holds) {
        cuts.insert(h.from);
        cuts.insert(h.to + 1);
    }
    std::vector<Overlap> found;
    for (auto it = cuts.begin(); std::next(it) != cuts.end(); ++it) {
        const std::uint32_t key = *it;
        std::map<std::string, std::vector<std::pair<double, double>>> byProcess;
        for (const Hold& h : holds) {
            if (h.from <= key && key <= h.to && h.end > h.start) {
                byProcess[h.process].emplace_back(h.start, h.end);
            }
        }
        for (auto& [process, spans] : byProcess) {
            std::sort(spans.begin(), spans.end());
            std::vector<std::pair<double, double>> merged;
            for (const auto& span : spans) {
                if (!merged.empty() && span.first <= merged.back().second) {
                    merged.back().second = std::max(merged.back().second, span.second);
                } else {
                    merged.push_back(span);
                }
            }
            spans = merged;
        }
        for (auto a = byProcess.begin(); a != byProcess.end(); ++a) {
            for (auto b = std::next(a); b != byProcess.end(); ++b) {
                for (const auto& x : a->second) {
                    for (const auto& y : b->second) {
                        const double start = std::max(x.first, y.first);
                        const double end = std::min(x.second, y.second);
                        if (end - start >= minMs) {
                            found.push_back({a->first, b->first, key, *std::next(it) - 1, start, end});
                        }
                    }
                }
            }
        }
    }
    return found;
}

/// A first grant of keys with a fencing token that is not above the one with which another endpoint had them.
struct LowGrant {
    Hold grant;
    Hold earlier;
};

inline std::vector<LowGrant> lowGrants(const std::vector<Hold>& holds)
{
    const auto endpointOf = [](const Hold& h) { return h.process.substr(0, h.process.find('/')); };
    std::vector<LowGrant> found;
    for (const Hold& grant : holds) {
        if (grant.renewal) {
            continue;
        }
        const auto earlier = std::find_if(holds.begin(), holds.end(), [&](const Hold& h) {
            return endpointOf(h) != endpointOf(grant) && h.from <= grant.to && grant.from <= h.to
                && h.start < grant.start && h.fence >= grant.fence;
        });
        if (earlier != holds.end()) {
            found.push_back({grant, *earlier});
        }
    }
    return found;
}

/// Grants of keys on which another endpoint was still at work, before that one's hold would have run out.
struct EarlyGrant {
    Hold grant;
    Run run;
};

inline std::vector<EarlyGrant> earlyGrants(const std::vector<Hold>& holds, const std::vector<Run>& runs)
{
    std::vector<EarlyGrant> found;
    for (const Hold& grant : holds) {
        if (grant.renewal) {
            continue;
        }
        for (const Run& run : runs) {
            const bool atWork = run.process != grant.process && grant.from <= run.key && run.key <= grant.to
                && run.start < grant.start && grant.start < run.end;
            const bool held = atWork && std::any_of(holds.begin(), holds.end(), [&](const Hold& h) {
                return h.process == run.process && h.from <= run.key && run.key <= h.to && h.start <= run.start
                    && grant.start < h.plannedEnd;
            });
            if (held) {
                found.push_back({grant, run});
            }
        }
    }
    return found;
}

} // namespace world
