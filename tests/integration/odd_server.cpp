#include "odd_server.h"

#include "base/socket_address.h"
#include "entry/caller_request.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminespread::test {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

constexpr int pollMs = 20;
constexpr std::size_t longFieldBytes = 65'540;
const std::string stated = "Not-Executed: 1\r\n";

std::string answerText(unsigned status, const std::string& fields, const std::string& body = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string chunkedAnswer(const std::string& fields, const std::string& body, const std::string& trailer)
{
    std::ostringstream size;
    size << std::hex << body.size();
    return "HTTP/1.1 200 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" + body
        + "\r\n0\r\n" + trailer + "\r\n\r\n";
}

} // namespace

std::string Message::field(const std::string& name) const
{
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && sameHeaderName(line.substr(0, colon), name)) {
            return line.substr(colon + 2, line.size() - colon - 3);
        }
    }
    return "";
}

HttpConnection::HttpConnection(int fd)
    : m_fd(fd)
{
    const timeval sendTime {1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_SNDTIMEO, &sendTime, sizeof sendTime);
}

HttpConnection::~HttpConnection() { close(m_fd); }

std::unique_ptr<HttpConnection> HttpConnection::connectTo(const std::string& address)
{
    auto connection = std::make_unique<HttpConnection>(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const std::optional<SocketAddress> to = parseSocketAddress(address);
    return connect(connection->m_fd, to->get(), to->size) == 0 ? std::move(connection) : nullptr;
}

bool HttpConnection::write(const std::string& text) const
{
    return ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
}

std::optional<Message> HttpConnection::read(const std::function<bool()>& wanted)
{
    std::optional<Message> message;
    while (!(message = parse()) && !m_ended && wanted()) {
        pollfd readable {m_fd, POLLIN, 0};
        if (poll(&readable, 1, pollMs) > 0) {
            char bytes[16'384];
            const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
            m_ended = n <= 0;
            m_bytes.append(bytes, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
    }
    return message;
}

void HttpConnection::reset() const
{
    const linger none {1, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

std::optional<Message> HttpConnection::parse()
{
    const std::size_t end = m_bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message {m_bytes.substr(0, end + 2), ""};
    const std::size_t size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
    if (m_bytes.size() < end + 4 + size) {
        return std::nullopt;
    }
    message.body = m_bytes.substr(end + 4, size);
    m_bytes.erase(0, end + 4 + size);
    return message.head.starts_with("HTTP/1.1 1") ? parse() : std::optional(message);
}

void RequestLog::update(const std::string& id, const std::function<void(Request&)>& change)
{
    const std::scoped_lock lock(m_mutex);
    change(m_requests[id]);
}

void RequestLog::run(const std::string& id, const std::string& server, AnswerForm form)
{
    update(id, [&](Request& request) {
        request.firstRunAt = request.runs.empty() ? monotonicNow() : request.firstRunAt;
        request.runs.push_back(server + ":" + std::string(enumName(formNames, form)));
    });
}

std::size_t RequestLog::takeViolations(const std::string& title, MonotonicTime turnsRepeatable)
{
    constexpr std::size_t maxDetails = 5;
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::size_t> counts;
    std::size_t total = 0;
    std::ostringstream details;
    for (const auto& [id, request] : m_requests) {
        const bool refused
            = request.end == "408" || request.end == "421" || request.end == "429" || request.end == "503";
        const bool turned = id.starts_with("turn-") && !request.runs.empty() && request.firstRunAt >= turnsRepeatable;
        const bool repeatable = request.repeatable || turned;
        std::vector<std::string> violations;
        if (!request.problem.empty()) {
            violations.push_back(request.problem);
        }
        if (refused && !request.runs.empty()) {
            violations.emplace_back(repeatable ? "refused-falsely-idempotent" : "refused-falsely");
        }
        if (request.runs.size() > 1 && !repeatable) {
            violations.emplace_back("ran-twice");
        }
        if (request.end.empty() || request.end == "silence") {
            violations.emplace_back("unanswered");
        }
        ++counts["ended-with-" + request.end];
        total += violations.empty() ? 0 : 1;
        for (const std::string& violation : violations) {
            if (++counts[violation] > maxDetails) {
                continue;
            }
            details << "  " << violation << " " << id << " via " << request.gateway << " end=" << request.end;
            for (const std::string& run : request.runs) {
                details << " " << run;
            }
            details << "\n";
        }
    }
    std::cout << "soak " << title << " requests=" << m_requests.size() << " violations=" << total;
    for (const auto& [name, count] : counts) {
        std::cout << " " << name << "=" << count;
    }
    std::cout << "\n" << details.str() << std::flush;
    m_requests.clear();
    return total;
}

OddServer::OddServer(std::string id, std::string service, std::string address, std::uint64_t seed, RequestLog& log)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_address(std::move(address))
    , m_seed(seed)
    , m_log(log)
{
    start();
}

void OddServer::start()
{
    ++m_born;
    m_held.clear();
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int reuse = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const std::optional<SocketAddress> at = parseSocketAddress(m_address);
    ASSERT_EQ(bind(m_listener, at->get(), at->size), 0) << m_address;
    ASSERT_EQ(listen(m_listener, 128), 0);
    m_isRunning = true;
    m_acceptor = std::thread([this] { accept(); });
}

void OddServer::stop()
{
    m_isRunning = false;
    if (m_acceptor.joinable()) {
        m_acceptor.join();
        close(m_listener);
    }
}

void OddServer::become(const std::string& id, const std::string& service)
{
    stop();
    m_id = id;
    m_service = service;
    start();
}

json::value OddServer::storeEntry() const
{
    return json::object {{"service", m_service}, {"address", m_address}, {"zone", "colombo-a"}, {"version", "v1"},
        {"slots", 12}, {"state", "ready"}, {"warmupLeftMs", 0}, {"sequence", 4}, {"born", m_born}};
}

bool OddServer::holds(unsigned key)
{
    const std::scoped_lock lock(m_mutex);
    return std::any_of(m_held.begin(), m_held.end(),
        [key](const Held& held) { return held.from <= key && key <= held.to && held.until > monotonicNow(); });
}

void OddServer::accept()
{
    std::vector<std::thread> threads;
    while (m_isRunning) {
        pollfd readable {m_listener, POLLIN, 0};
        (void)poll(&readable, 1, pollMs);
        const int fd = isPaused() ? -1 : accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
            threads.emplace_back([this, fd, seed = m_seed + threads.size()] { serve(fd, seed); });
        } else if (isPaused()) {
            sleep(10ms);
        }
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
}

void OddServer::sleep(Milliseconds duration) const
{
    const MonotonicTime end = monotonicNow() + duration;
    while (m_isRunning && monotonicNow() < end) {
        std::this_thread::sleep_for(std::min(duration, 10ms));
    }
}

void OddServer::serve(int fd, std::uint64_t seed)
{
    HttpConnection connection(fd);
    Random random(seed);
    std::string lateCopy;
    bool open = true;
    while (open && m_isRunning && !connection.ended()) {
        const std::optional<Message> request = connection.read([this] { return m_isRunning && !isPaused(); });
        while (m_isRunning && isPaused()) {
            sleep(10ms);
        }
        open = !request || (m_isRunning && answer(connection, *request, random, lateCopy));
    }
}

bool OddServer::answer(const HttpConnection& connection, const Message& request, Random& random, std::string& lateCopy)
{
    const std::string id = request.field("Request-Id");
    const std::string expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        return connection.write(answerText(421, "Request-Id: " + id + "\r\nInstance-Id: " + m_id + "\r\n"));
    }
    if (request.head.starts_with("POST /api/")) {
        return connection.write(changeKeys(request));
    }
    if (id.empty()) {
        return connection.write(answerText(200, "Instance-Id: " + m_id + "\r\n"));
    }
    const std::string key = request.field("Shard-Key");
    const int form = m_form >= 0 ? m_form.load() : static_cast<int>(random.below(formNames.size()));
    const bool served = random.below(2) == 0;
    const bool notOwner = !key.empty() && !holds(static_cast<unsigned>(std::stoul(key)));
    return answerInForm(notOwner ? AnswerForm::MisdirectedStated
            : served             ? AnswerForm::Served
                                 : static_cast<AnswerForm>(form),
        connection, request, random, lateCopy);
}

bool OddServer::answerInForm(
    AnswerForm form, const HttpConnection& connection, const Message& request, Random& random, std::string& lateCopy)
{
    const std::string id = request.field("Request-Id");
    const std::string idField = "Request-Id: " + id + "\r\n";
    const std::string retryAfter = random.below(4) == 0 ? "Retry-After: 0.05\r\n" : "";
    const std::string before = std::exchange(lateCopy, "");
    const auto send = [&](const std::string& text) { return connection.write(before + text); };
    switch (form) {
    case AnswerForm::Refused503:
        return send(answerText(503, idField + stated + retryAfter));
    case AnswerForm::Refused429:
        return send(answerText(429, idField + stated));
    case AnswerForm::RefusedCut:
        return send("HTTP/1.1 503 X\r\n" + idField + stated + "Content-Length: 9\r\n\r\nfu") && false;
    case AnswerForm::RefusedCopyWithId:
    case AnswerForm::RefusedCopyWithoutId:
        lateCopy = answerText(503, form == AnswerForm::RefusedCopyWithId ? idField + stated : stated);
        if (!send(answerText(503, idField + stated)) || random.below(3) > 0) {
            return true;
        }
        sleep(random.between(0, 20));
        return connection.write(std::exchange(lateCopy, ""));
    case AnswerForm::Misdirected:
        return send(answerText(421, idField));
    case AnswerForm::MisdirectedStated:
        return send(answerText(421, idField + stated));
    default:
        sleep(form == AnswerForm::RunLate ? random.between(300, 1000) : random.between(0, 20));
        break;
    }
    if (!m_isRunning) {
        return false;
    }
    m_log.run(id, m_id, form);
    sleep(random.between(0, 20));
    const auto sealed = [&](unsigned status) {
        return idField + "Response-Seal: seal-" + id + "-" + std::to_string(status) + "\r\n";
    };
    const std::string body = "answer to " + id;
    const std::string success = answerText(200, sealed(200), body);
    const auto fail = [&](unsigned status) {
        return send(answerText(status, random.below(2) == 0 ? idField + retryAfter : sealed(status), body));
    };
    switch (form) {
    case AnswerForm::Run503:
        return fail(503);
    case AnswerForm::Run429:
        return fail(429);
    case AnswerForm::Run408:
        return fail(408);
    case AnswerForm::Run500:
        return fail(500);
    case AnswerForm::RunInterim503:
        return send("HTTP/1.1 103 X\r\n" + stated + "\r\n" + answerText(503, idField, body));
    case AnswerForm::RunLongTrailerValue:
        return send(chunkedAnswer(sealed(200), body, "X: " + std::string(longFieldBytes, 'x')));
    case AnswerForm::RunLongTrailerName:
        return send(chunkedAnswer(sealed(200), body, std::string(longFieldBytes, 'x') + ": x"));
    case AnswerForm::RunPartReset:
        connection.reset();
        return send("HTTP/1.1 200 X\r\n" + sealed(200) + "\r\n" + body.substr(0, body.size() - 3)) && false;
    case AnswerForm::RunStatusZero:
        return send("HTTP/1.1 000" + success.substr(sizeof("HTTP/1.1 200") - 1));
    case AnswerForm::RunBlankInName:
        return send(answerText(200, sealed(200) + "Content-Encoding : identity\r\n", body));
    case AnswerForm::RunReset:
        connection.reset();
        return false;
    case AnswerForm::RunSilence:
        sleep(Milliseconds(std::atoi(request.field("Deadline-Ms").c_str()) + 200));
        return false;
    case AnswerForm::RunCutHead:
        return send(random.below(2) == 0 ? "HTTP" : "HTTP/1.1 503 X\r\n" + idField + stated.substr(0, 9)) && false;
    case AnswerForm::RunCutBody:
        return send(success.substr(0, success.size() - 3)) && false;
    case AnswerForm::Interim:
        return send("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 102 X\r\n\r\n" + success);
    case AnswerForm::Unsealed:
        return send(answerText(200, idField, body));
    case AnswerForm::ServedStatingNotRun:
        return send(answerText(200, sealed(200) + stated, body));
    default:
        return send(success);
    }
}

std::string OddServer::changeKeys(const Message& request)
{
    const json::object fields = json::parse(request.body).as_object();
    const auto number = [&fields](const char* name) { return fields.at(name).to_number<unsigned>(); };
    const unsigned from = number("from");
    const unsigned to = number("to");
    const std::scoped_lock lock(m_mutex);
    for (const Held& old : std::exchange(m_held, {})) {
        if (old.from < from) {
            m_held.push_back({old.from, std::min(old.to, from - 1), old.until});
        }
        if (old.to > to) {
            m_held.push_back({std::max(old.from, to + 1), old.to, old.until});
        }
    }
    if (request.head.starts_with("POST /api/release")) {
        return answerText(200, "Handover: state-of-" + m_id + "\r\n");
    }
    m_held.push_back({from, to, monotonicNow() + Milliseconds(number("holdMs"))});
    return answerText(200, "");
}

} // namespace jasminespread::test
