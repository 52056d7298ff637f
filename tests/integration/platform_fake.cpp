#include "platform_fake.h"

#include <glib.h>

#include <algorithm>
#include <stdexcept>

namespace jasminespread::test {
namespace {

namespace json = boost::json;

constexpr std::string_view objectsPath = "/api/objects/";
constexpr guint watchCheckMs = 20;

std::string queryValue(const std::optional<std::string>& fields, const std::string& name)
{
    const std::string query = fields.value_or("");
    const std::size_t at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
}

std::string headerOf(const RawRequest& raw, std::string_view name)
{
    return std::string(findHeader(raw.headers, name).value_or(""));
}

void listenOrThrow(HttpServer& server, const std::string& address)
{
    if (!server.listen(address)) {
        throw std::runtime_error("cannot listen on " + address);
    }
}

/// Calls @p run after @p delay unless @p owner has ended by then.
void runAfter(Milliseconds delay, const std::weak_ptr<const bool>& owner, std::function<void()> run)
{
    const auto runIfAlive = [owner, run = std::move(run)] {
        if (!owner.expired()) {
            run();
        }
    };
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()),
        [](gpointer data) -> gboolean {
            (*static_cast<std::function<void()>*>(data))();
            return G_SOURCE_REMOVE;
        },
        new std::function<void()>(runIfAlive), [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
}

} // namespace

bool runUntil(Milliseconds timeout, const std::function<bool()>& condition)
{
    const MonotonicTime end = monotonicNow() + timeout;
    const guint timer = g_timeout_add(
        5, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
    bool satisfied = condition();
    while (!satisfied && monotonicNow() < end) {
        g_main_context_iteration(nullptr, TRUE);
        satisfied = condition();
    }
    g_source_remove(timer);
    return satisfied;
}

StoreFake::StoreFake(const std::string& address)
    : m_server(HttpServerLimits(),
        {[this](std::uint64_t request, RawRequest&& raw) { onRequest(request, std::move(raw)); },
            [this](std::uint64_t request) {
                m_watches.remove_if([request](const Watch& watch) { return watch.request == request; });
            },
            {}})
{
    listenOrThrow(m_server, address);
}

void StoreFake::put(const std::string& kind, const std::string& name, const json::value& spec)
{
    Object& object = m_objects[kind][name];
    object.revision = ++m_revision;
    object.created = object.created == 0 ? m_revision : object.created;
    object.spec = spec;
    appendToHistory(kind, name, false);
}

void StoreFake::remove(const std::string& kind, const std::string& name)
{
    ++m_revision;
    appendToHistory(kind, name, true);
    m_objects[kind].erase(name);
}

void StoreFake::setMode(Mode mode) { m_mode = mode; }

void StoreFake::failWatches()
{
    for (const Watch& watch : std::exchange(m_watches, {})) {
        answer(watch.request, 500, json::object());
    }
}

const json::value* StoreFake::spec(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end() || !objects->second.contains(name)) {
        return nullptr;
    }
    return &objects->second.at(name).spec;
}

json::value StoreFake::encode(const std::string& name, const Object& object)
{
    return json::object {{"metadata", {{"name", name}, {"rev", object.revision}, {"createRev", object.created}}},
        {"spec", object.spec}, {"status", nullptr}};
}

void StoreFake::appendToHistory(const std::string& kind, const std::string& name, bool deleted)
{
    m_history.push_back({m_revision, kind, name, deleted, encode(name, m_objects[kind][name])});
    answerWatches();
}

void StoreFake::answer(std::uint64_t request, unsigned status, const json::value& body)
{
    CallerAnswer answer;
    answer.status = status;
    answer.headers.push_back({"Content-Type", "application/json"});
    if (m_era > 0) {
        answer.headers.push_back({"Store-Era", std::to_string(m_era)});
    }
    answer.body = json::serialize(body);
    m_server.answer(request, std::move(answer));
}

void StoreFake::restoreCopy()
{
    m_objects = m_copy.objects;
    m_history = m_copy.history;
    m_revision = m_copy.revision;
    m_oldestRevision = std::min(m_oldestRevision, m_revision);
    ++m_era;
    answerWatches();
}

void StoreFake::onRequest(std::uint64_t request, RawRequest&& raw)
{
    ++m_calls;
    if (m_mode == Mode::Unresponsive) {
        return;
    }
    if (m_mode == Mode::Unavailable) {
        return answer(request, 503, json::object());
    }
    const std::string rest = raw.path.substr(std::min(raw.path.size(), objectsPath.size()));
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (raw.method != "GET") {
        return write(request, kind, raw);
    }
    if (slash != std::string::npos) {
        return read(request, kind, rest.substr(slash + 1));
    }
    const std::string from = queryValue(raw.query, "watch");
    if (from.empty()) {
        return list(request, kind, queryValue(raw.query, "after"));
    }
    m_watches.push_back(
        {request, kind, std::stoull(from), monotonicNow() + Milliseconds(std::stoll(queryValue(raw.query, "waitMs")))});
    answerWatches();
    runAfter(Milliseconds(std::stoll(queryValue(raw.query, "waitMs")) + 1), m_alive, [this] { answerWatches(); });
}

void StoreFake::list(std::uint64_t request, const std::string& kind, const std::string& after)
{
    // Small pages force the client to request further ones.
    constexpr std::size_t pageSize = 2;
    json::array items;
    bool more = false;
    for (const auto& [name, object] : m_objects[kind]) {
        if (name <= after && !after.empty()) {
            continue;
        }
        if (items.size() == pageSize) {
            more = true;
            break;
        }
        items.push_back(encode(name, object));
    }
    answer(request, 200, json::object {{"items", std::move(items)}, {"hasMore", more}, {"atRev", m_revision}});
}

void StoreFake::read(std::uint64_t request, const std::string& kind, const std::string& name)
{
    const auto it = m_objects[kind].find(name);
    if (it == m_objects[kind].end()) {
        return answer(request, 404, json::object());
    }
    answer(request, 200, encode(name, it->second));
}

void StoreFake::write(std::uint64_t request, const std::string& kind, const RawRequest& raw)
{
    const json::object body = json::parse(raw.body).as_object();
    const json::object& metadata = body.at("metadata").as_object();
    const std::string name(metadata.at("name").as_string());
    const bool exists = m_objects[kind].contains(name);
    const json::value* revision = metadata.if_contains("rev");
    const bool conflicts = raw.method == "POST"
        ? exists
        : exists && revision != nullptr && revision->to_number<std::uint64_t>() != m_objects[kind][name].revision;
    if (conflicts) {
        return answer(request, 409, encode(name, m_objects[kind][name]));
    }
    if (raw.method == "PUT" && !exists) {
        return answer(request, 404, json::object());
    }
    put(kind, name, body.at("spec"));
    answer(request, 200, encode(name, m_objects[kind][name]));
}

void StoreFake::answerWatches()
{
    if (m_mode != Mode::Serving) {
        return;
    }
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        json::array events;
        for (const Change& change : m_history) {
            if (change.revision > it->from && change.kind == it->kind) {
                events.push_back(json::object {{"object", change.object}, {"deleted", change.deleted}});
            }
        }
        const bool compacted = it->from < m_oldestRevision || it->from > m_revision;
        if (!compacted && events.empty() && monotonicNow() < it->until) {
            ++it;
            continue;
        }
        const std::uint64_t request = it->request;
        it = m_watches.erase(it);
        if (compacted) {
            answer(request, 410, json::object());
        } else {
            answer(request, 200, json::object {{"events", std::move(events)}, {"atRev", m_revision}});
        }
    }
}

ServerFake::ServerFake(std::string id, const std::string& address, bool keyed)
    : m_id(std::move(id))
    , m_address(address)
    , m_keyed(keyed)
    , m_server(HttpServerLimits(),
          {[this](std::uint64_t request, RawRequest&& raw) { onRequest(request, std::move(raw)); },
              [](std::uint64_t) {}, {}})
{
    listenOrThrow(m_server, address);
}

json::value ServerFake::storeEntry(const std::string& service, const std::string& state) const
{
    return json::object {{"service", service}, {"address", m_address}, {"zone", "colombo-a"}, {"version", "v1"},
        {"slots", 6}, {"state", state}, {"warmupLeftMs", 0}, {"sequence", 4}, {"born", m_bornAt}};
}

bool ServerFake::holdsKey(std::uint32_t key) const
{
    return std::any_of(m_heldRanges.begin(), m_heldRanges.end(), [key](const HeldRange& heldRange) {
        return heldRange.range.contains(key) && heldRange.until > monotonicNow();
    });
}

void ServerFake::reply(
    std::uint64_t request, unsigned status, std::vector<HeaderField> headers, const std::string& body)
{
    CallerAnswer answer;
    answer.status = status;
    answer.headers = std::move(headers);
    if (!m_leavingValue.empty()) {
        answer.headers.push_back({"Server-Leaving", m_leavingValue});
    }
    answer.body = body;
    m_server.answer(request, std::move(answer));
}

void ServerFake::refuse(const std::string& retryAfter, Milliseconds duration)
{
    m_retryAfter = retryAfter;
    m_refusesUntil = monotonicNow() + duration;
}

void ServerFake::restart()
{
    ++m_bornAt;
    m_heldRanges.clear();
    m_leavingValue.clear();
    m_refusesUntil = MonotonicTime();
}

void ServerFake::onRequest(std::uint64_t request, RawRequest&& raw)
{
    const std::string id = headerOf(raw, "Request-Id");
    if (headerOf(raw, "Expect-Instance") != m_id) {
        return reply(request, 421, {{"Request-Id", id}, {"Instance-Id", m_id}});
    }
    if (raw.path == "/api/grant") {
        return grant(request, raw);
    }
    if (raw.path == "/api/release") {
        return release(request, raw);
    }
    m_arrivals.push_back({id, monotonicNow()});
    if (monotonicNow() < m_refusesUntil) {
        return reply(request, 503, {{"Request-Id", id}, {"Not-Executed", "1"}, {"Retry-After", m_retryAfter}});
    }
    if (m_keyed && !holdsKey(static_cast<std::uint32_t>(std::stoul(headerOf(raw, "Shard-Key"))))) {
        return reply(request, 421, {{"Request-Id", id}, {"Not-Executed", "1"}});
    }
    m_executedRequests.push_back(id);
    runAfter(m_serviceTime, m_alive, [this, request, id] {
        reply(request, m_statusAfterExecution, {{"Request-Id", id}, {"Response-Seal", "seal-" + id}, {"Server", m_id}},
            "answer of " + m_id);
    });
}

void ServerFake::grant(std::uint64_t request, const RawRequest& raw)
{
    const json::object body = json::parse(raw.body).as_object();
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    const KeyRange range {body.at("from").to_number<std::uint32_t>(), body.at("to").to_number<std::uint32_t>()};
    std::erase_if(
        m_heldRanges, [&](const HeldRange& heldRange) { return heldRange.range == range && heldRange.fence <= fence; });
    m_heldRanges.push_back({range, fence, monotonicNow() + Milliseconds(body.at("holdMs").to_number<std::int64_t>())});
    reply(request, 200, {});
}

void ServerFake::release(std::uint64_t request, const RawRequest& raw)
{
    const json::object body = json::parse(raw.body).as_object();
    const KeyRange range {body.at("from").to_number<std::uint32_t>(), body.at("to").to_number<std::uint32_t>()};
    std::erase_if(m_heldRanges, [&](const HeldRange& heldRange) { return heldRange.range == range; });
    reply(request, 200, {{"Handover", "state-of-" + m_id}});
}

} // namespace jasminespread::test
