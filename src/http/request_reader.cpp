#include "http/request_reader.h"

#include "http/http_server.h"

#include <boost/beast/http.hpp>

#include <utility>

namespace jasminespread {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

unsigned statusOf(const ErrorCode& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return 431;
    }
    if (ec == http::error::body_limit) {
        return 413;
    }
    return 400;
}

} // namespace

struct RequestReader::Parser : http::request_parser<http::string_body> { };

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

std::size_t RequestReader::heldBytes() const { return m_input.size() + (m_parser ? m_parser->get().body().size() : 0); }

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
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(limits.maxHeaderBytes);
    m_parser->body_limit(limits.maxBodyBytes);
    m_parser->eager(true);
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
    ErrorCode ec;
    std::size_t consumed = 0;
    while (!parser.is_done() && consumed < m_input.size()) {
        consumed += parser.put(boost::asio::const_buffer(m_input.data() + consumed, m_input.size() - consumed), ec);
        if (ec) {
            break;
        }
    }
    m_input.erase(0, consumed);
    m_readBytes += consumed;
    if (parser.is_header_done() && parser.chunked() && !limits.acceptChunked) {
        return Refusal {411, "a body needs a Content-Length"};
    }
    if (ec == http::error::need_more) {
        ec = {};
        // The parser limits the head only, not the lines of a chunked body's framing and of its trailer.
        if (m_input.size() > limits.maxHeaderBytes) {
            ec = http::error::header_limit;
        }
    }
    if (ec) {
        return Refusal {statusOf(ec), ec.message()};
    }
    if (parser.is_done()) {
        return finish();
    }
    if (parser.is_header_done() && !std::exchange(m_continueDecided, true)) {
        m_deadline = m_startedAt + limits.bodyTimeout;
        m_expectsContinue = boost::beast::iequals(parser.get()[http::field::expect], "100-continue");
    }
    return Incomplete();
}

std::variant<RequestReader::Incomplete, RequestReader::Request, RequestReader::Refusal> RequestReader::finish()
{
    const std::unique_ptr<Parser> parser = std::move(m_parser);
    m_expectsContinue = false;
    http::request<http::string_body>& message = parser->get();
    Request request;
    request.raw.arrivedAt = arrivalOfLastReadByte();
    request.raw.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t question = target.find('?');
    request.raw.path = target.substr(0, question);
    if (question != std::string::npos) {
        request.raw.query = target.substr(question + 1);
    }
    std::size_t hosts = 0;
    for (const auto& field : message) {
        hosts += field.name() == http::field::host ? 1 : 0;
        request.raw.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (hosts > 1) {
        return Refusal {400, "more than one Host field"};
    }
    if (hosts == 0 && message.version() >= 11) {
        return Refusal {400, "the Host field is missing"};
    }
    request.raw.body = std::move(message.body());
    request.isHead = message.method() == http::verb::head;
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
