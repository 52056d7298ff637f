#include "callers.h"

#include "http_call.h"

#include <jasminespread/request_id.h>

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace jasminespread::test {

namespace json = boost::json;

namespace {

std::string stringField(const json::value& body, std::string_view name)
{
    const json::value* value = body.is_object() ? body.get_object().if_contains(name) : nullptr;
    return value == nullptr || !value->is_string() ? std::string() : std::string(value->get_string());
}

std::int64_t nowNanoseconds() { return monotonicNow().time_since_epoch().count(); }

} // namespace

CallerRecord callOnce(HttpClient& http, const Callers::Entry& entry, const std::string& service, const std::string& key,
    bool repeatable, Milliseconds deadline, const CallOptions& callOptions)
{
    CallerRecord record;
    record.requestId = callOptions.requestId.empty() ? RequestId::generate(wallNow()).text() : callOptions.requestId;
    record.key = key;
    record.entry = entry.id;
    record.repeatable = repeatable;
    record.start = nowNanoseconds();
    std::vector<HeaderField> headers {{"Jasminespread-Key", key}, {"Jasminespread-Request-Id", record.requestId},
        {"Jasminespread-Deadline-Ms", std::to_string(deadline.count())}};
    if (!callOptions.workClass.empty()) {
        headers.push_back({"Jasminespread-Class", callOptions.workClass});
    }
    const std::string query
        = callOptions.answerBytes == 0 ? "" : "?answerBytes=" + std::to_string(callOptions.answerBytes);
    const HttpResponse response = http.call(repeatable ? "GET" : "POST",
        entry.url + "/v1/" + service + "/reading" + query, headers, repeatable ? "" : callOptions.body);
    record.end = nowNanoseconds();
    record.answered = response.status != 0;
    record.status = response.status;
    record.outcome = enumValue(outcomeNames, response.header("Jasminespread-Outcome"));
    record.reason = response.header("Jasminespread-Reason");
    boost::system::error_code ec;
    const json::value body = json::parse(response.body, ec);
    if (!ec) {
        record.answerKey = stringField(body, "key");
        record.answerRequestId = stringField(body, "requestId");
        record.answerPadding = stringField(body, "padding").size();
    }
    if (!response.connected) {
        // The connection failed before anything was sent; a load balancer would choose another instance.
        record.answered = true;
        record.outcome = Outcome::NotRun;
        record.reason = "not-connected";
    }
    return record;
}

Callers::Callers(std::vector<Entry> entries, std::string service)
    : m_entries(std::move(entries))
    , m_service(std::move(service))
    , m_available(m_entries.size())
{
    for (std::atomic<bool>& available : m_available) {
        available = true;
    }
}

Callers::~Callers() { stop(); }

void Callers::start()
{
    for (unsigned i = 0; i < 2 * keyCount; ++i) {
        m_threads.emplace_back([this, i] { run(i); });
    }
}

void Callers::stop()
{
    m_stopping = true;
    for (std::thread& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void Callers::setAvailable(const std::string& entry, bool available)
{
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].id == entry) {
            m_available[i] = available;
        }
    }
}

std::vector<CallerRecord> Callers::records() const
{
    const std::scoped_lock lock(m_mutex);
    return m_records;
}

std::size_t Callers::chooseEntry(std::size_t& next) const
{
    for (std::size_t attempt = 0; attempt < m_entries.size(); ++attempt) {
        const std::size_t chosen = next++ % m_entries.size();
        if (m_available[chosen]) {
            return chosen;
        }
    }
    return next % m_entries.size();
}

void Callers::run(unsigned index)
{
    HttpClient http;
    std::size_t next = index;
    while (!m_stopping) {
        const Entry& entry = m_entries[chooseEntry(next)];
        CallerRecord record = callOnce(http, entry, m_service, key(index / 2), index % 2 == 0, deadline);
        {
            const std::scoped_lock lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        std::this_thread::sleep_for(thinkTime);
    }
}

Milliseconds longestTimeWithoutService(const std::vector<CallerRecord>& calls, MonotonicTime since, bool repeatable)
{
    const std::int64_t sinceNs = since.time_since_epoch().count();
    std::int64_t latestEnd = sinceNs;
    std::map<std::string, std::vector<std::int64_t>> doneTimes;
    for (unsigned i = 0; i < Callers::keyCount; ++i) {
        doneTimes[Callers::key(i)] = {sinceNs};
    }
    for (const CallerRecord& call : calls) {
        latestEnd = std::max(latestEnd, call.end);
        if (call.repeatable == repeatable && call.end >= sinceNs && call.outcome == Outcome::Done) {
            doneTimes[call.key].push_back(call.end);
        }
    }
    std::int64_t longestNs = 0;
    for (auto& [key, times] : doneTimes) {
        times.push_back(latestEnd);
        std::sort(times.begin(), times.end());
        for (std::size_t i = 1; i < times.size(); ++i) {
            longestNs = std::max(longestNs, times[i] - times[i - 1]);
        }
    }
    return std::chrono::duration_cast<Milliseconds>(std::chrono::nanoseconds(longestNs));
}

} // namespace jasminespread::test
