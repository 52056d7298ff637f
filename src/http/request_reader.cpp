#include "http/request_reader.h"

#include "http/http_server.h"
#include "http/message_parser.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace jasminespread {
namespace {

namespace http = boost::beast::http;

unsigned statusOf(ParseError error)
{
    switch (error) {
    case ParseError::HeaderTooLarge:
        return 431;
    case ParseError::BodyTooLarge:
        return 413;
    case ParseError::Malformed:
        break;
    }
    return 400;
}

} // namespace

struct RequestReader::Parser : MessageParser<true> {
    using MessageParser::MessageParser;
};

RequestReader::RequestReader() = default;

RequestReader::~RequestReader() = default;

void RequestReader::append(std::string_view bytes, MonotonicTime now)
{
    m_input.append(bytes);
    m_arrivedBytes += bytes.size();
    while (!m_arrivals.empty() && m_arrivals.front().end <= m_readBytes) {
        m_arrivals.pop_front();
    }
    m_arrivals.push_back({m_arrivedBytes, now});
}

bool RequestReader::hasPartialBody() const { return m_parser && m_parser->is_header_done(); }

std::size_t RequestReader::heldBytes() const
{
    return heapCost(m_input) + m_arrivals.size() * sizeof(Arrival)
        + (m_parser ? sizeof(Parser) + m_parser->heldBytes() : 0);
}

bool RequestReader::extendDeadline(const HttpServerLimits& limits, MonotonicTime now)
{
    if (hasPartialBody() && limits.minBodyBytesPerSecond > 0) {
        const Milliseconds earned(m_parser->body().size() * 1000 / limits.minBodyBytesPerSecond);
        m_deadline = m_startedAt + std::min(limits.bodyTimeout, limits.bodyGraceTime + earned);
    }
    return m_deadline > now;
}

void RequestReader::discard()
{
    m_parser.reset();
    m_expectsContinue = false;
    m_input = std::string();
    m_arrivals.clear();
    m_readBytes = m_arrivedBytes;
}

void RequestReader::begin(const HttpServerLimits& limits, MonotonicTime now)
{
    m_startedAt = now;
    m_deadline = now + limits.headerTimeout;
    m_expectsContinue = false;
    m_continueDecided = false;
    m_parser = std::make_unique<Parser>(limits.maxHeaderBytes, limits.maxBodyBytes);
}

std::variant<RequestReader::Incomplete, RequestReader::Request, RequestReader::Refusal> RequestReader::next(
    const HttpServerLimits& limits, MonotonicTime now)
{
    if (m_input.empty()) {
        return Incomplete();
    }
    if (!m_parser) {
        begin(limits, now);
    }
    Parser& parser = *m_parser;
    const std::size_t unread = m_input.size();
    const std::optional<ParseFailure> failure = parser.read(m_input);
    m_readBytes += unread - m_input.size();
    if (parser.is_header_done() && parser.chunked() && !limits.acceptChunked) {
        return Refusal {411, "a body needs a Content-Length"};
    }
    if (failure) {
        return Refusal {statusOf(failure->error), failure->reason};
    }
    if (parser.is_done()) {
        return finish();
    }
    if (parser.is_header_done() && !std::exchange(m_continueDecided, true)) {
        m_deadline = m_startedAt
            + (limits.minBodyBytesPerSecond > 0 ? std::min(limits.bodyTimeout, limits.bodyGraceTime)
                                                : limits.bodyTimeout);
        const std::optional<std::string_view> expected = findHeader(parser.headers(), "Expect");
        m_expectsContinue = expected && sameHeaderName(*expected, "100-continue");
    }
    return Incomplete();
}

std::variant<RequestReader::Incomplete, RequestReader::Request, RequestReader::Refusal> RequestReader::finish()
{
    const std::unique_ptr<Parser> parser = std::move(m_parser);
    m_expectsContinue = false;
    if (m_input.empty()) {
        m_input = std::string(); // An idle connection keeps no buffer.
    }
    const http::request_header<>& start = parser->startLine();
    Request request;
    request.raw.arrivedAt = arrivalOfLastReadByte();
    request.raw.method = std::string(start.method_string());
    const std::string target(start.target());
    const std::size_t question = target.find('?');
    request.raw.path = target.substr(0, question);
    if (question != std::string::npos) {
        request.raw.query = target.substr(question + 1);
    }
    request.raw.headers = std::move(parser->headers());
    const auto hosts = std::count_if(request.raw.headers.begin(), request.raw.headers.end(),
        [](const HeaderField& field) { return sameHeaderName(field.name, "Host"); });
    if (hosts > 1) {
        return Refusal {400, "more than one Host field"};
    }
    if (hosts == 0 && start.version() >= 11) {
        return Refusal {400, "the Host field is missing"};
    }
    request.raw.body = std::move(parser->body());
    if (start.method() == http::verb::trace && !request.raw.body.empty()) {
        return Refusal {400, "a TRACE request must not have a body"}; // RFC 9110, section 9.3.8.
    }
    request.isHead = start.method() == http::verb::head;
    request.closes = !parser->keep_alive();
    return request;
}

MonotonicTime RequestReader::arrivalOfLastReadByte()
{
    while (m_arrivals.front().end < m_readBytes) {
        m_arrivals.pop_front();
    }
    return m_arrivals.front().at;
}

} // namespace jasminespread
