#include "entry/caller_request.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace jasminespread {
namespace {

constexpr std::string_view pathPrefix = "/v1/";
constexpr std::string_view reservedHeaderPrefix = "Jasminespread-";
constexpr std::size_t maxKeyBytes = 1024;
constexpr std::size_t maxClassBytes = 64;
constexpr std::int64_t maxDeadlineMs = 3'600'000;

constexpr std::array<std::string_view, 12> nonForwardableHeaders {"Connection", "Keep-Alive", "Proxy-Connection", "TE",
    "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization", "Host", "Content-Length",
    "Expect"};

char toLowerAscii(char c) noexcept { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool startsWithName(std::string_view name, std::string_view prefix) noexcept
{
    return name.size() >= prefix.size() && sameHeaderName(name.substr(0, prefix.size()), prefix);
}

std::string_view trim(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

std::vector<std::string> connectionHeaderNames(const std::vector<HeaderField>& headers)
{
    std::vector<std::string> names;
    for (const HeaderField& field : headers) {
        if (!sameHeaderName(field.name, "Connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            names.emplace_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return names;
}

bool isRepeatableMethod(std::string_view method) noexcept
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool hasControlCharacters(std::string_view text) noexcept
{
    return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
}

} // namespace

unsigned statusFor(Outcome outcome, std::string_view reasonCode) noexcept
{
    if (outcome == Outcome::Done) {
        return 200;
    }
    if (outcome == Outcome::Unknown) {
        return reasonCode == reason::deadline ? 504 : 502;
    }
    if (reasonCode == reason::unknownService || reasonCode == reason::badPath) {
        return 404;
    }
    if (reasonCode == reason::lengthRequired) {
        return 411;
    }
    if (reasonCode == reason::bodyTooLarge) {
        return 413;
    }
    if (reasonCode == reason::headersTooLarge) {
        return 431;
    }
    if (reasonCode == reason::refusedByRule || reasonCode == reason::tooManyRequests) {
        return 429;
    }
    constexpr std::array<std::string_view, 10> badRequestReasons {reason::badFraming, reason::missingKey,
        reason::badKey, reason::badRequestId, reason::badDeadline, reason::badRepeatable, reason::badClass,
        reason::badMethod, reason::futureId, reason::idReused};
    return std::find(badRequestReasons.begin(), badRequestReasons.end(), reasonCode) != badRequestReasons.end() ? 400
                                                                                                                : 503;
}

RequestAnswer makeAnswer(Outcome outcome, std::string_view reasonCode, std::string_view explanation)
{
    RequestAnswer answer;
    answer.outcome = outcome;
    answer.reason = reasonCode;
    answer.status = statusFor(outcome, reasonCode);
    answer.headers.push_back({"Content-Type", "text/plain; charset=utf-8"});
    answer.body = explanation.empty() ? std::string(reasonCode) : std::string(explanation);
    answer.body += '\n';
    return answer;
}

std::variant<CallerRequest, RequestAnswer> parseCallerRequest(RawRequest&& raw, WallTime now)
{
    const auto refuse = [](std::string_view reasonCode, std::string_view text) {
        return makeAnswer(Outcome::NotRun, reasonCode, text);
    };
    if (!raw.path.starts_with(pathPrefix)) {
        return refuse(reason::badPath, "the path must be /v1/<service>/<path>");
    }
    const std::size_t slash = raw.path.find('/', pathPrefix.size());
    CallerRequest request;
    request.service = raw.path.substr(pathPrefix.size(), slash - pathPrefix.size());
    if (request.service.empty() || slash == std::string::npos) {
        return refuse(reason::badPath, "the path must be /v1/<service>/<path>");
    }
    request.target = raw.path.substr(slash);
    if (raw.query) {
        request.target += '?';
        request.target += *raw.query;
    }
    if (raw.method == "CONNECT" || raw.method == "TRACE") {
        return refuse(reason::badMethod, "the methods CONNECT and TRACE are not supported");
    }
    request.method = std::move(raw.method);

    const std::optional<std::string_view> key = findHeader(raw.headers, "Jasminespread-Key");
    if (!key || key->empty()) {
        return refuse(reason::missingKey, "the header Jasminespread-Key is missing; it names the key to work on");
    }
    if (key->size() > maxKeyBytes || hasControlCharacters(*key)) {
        return refuse(reason::badKey, "Jasminespread-Key must have at most 1024 bytes and no control characters");
    }
    request.key = *key;

    if (const std::optional<std::string_view> id = findHeader(raw.headers, "Jasminespread-Request-Id")) {
        const std::optional<RequestId> parsed = RequestId::parse(*id);
        if (!parsed) {
            return refuse(reason::badRequestId, "Jasminespread-Request-Id must be a UUID of version 7");
        }
        request.id = *parsed;
    } else {
        request.id = RequestId::generate(now);
        request.idGeneratedByEntry = true;
    }

    if (const std::optional<std::string_view> text = findHeader(raw.headers, "Jasminespread-Deadline-Ms")) {
        std::int64_t milliseconds = 0;
        const std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != text->data() + text->size() || milliseconds < 1
            || milliseconds > maxDeadlineMs) {
            return refuse(reason::badDeadline, "Jasminespread-Deadline-Ms must be a whole number from 1 to 3600000");
        }
        request.deadline = Milliseconds(milliseconds);
    }

    request.repeatable = isRepeatableMethod(request.method);
    if (const std::optional<std::string_view> text = findHeader(raw.headers, "Jasminespread-Repeatable")) {
        if (*text != "yes" && *text != "no") {
            return refuse(reason::badRepeatable, "Jasminespread-Repeatable must be yes or no");
        }
        request.repeatable = *text == "yes";
    }

    if (const std::optional<std::string_view> text = findHeader(raw.headers, "Jasminespread-Class")) {
        if (text->size() > maxClassBytes) {
            return refuse(reason::badClass, "Jasminespread-Class must have at most 64 bytes");
        }
        request.workClass = *text;
    }

    request.headers = std::move(raw.headers);
    removeNonForwardableHeaders(request.headers);
    request.body = std::move(raw.body);
    return request;
}

void removeNonForwardableHeaders(std::vector<HeaderField>& headers)
{
    const std::vector<std::string> connectionNames = connectionHeaderNames(headers);
    const auto isNonForwardable = [&](const HeaderField& field) {
        const auto matches = [&](std::string_view name) { return sameHeaderName(field.name, name); };
        return startsWithName(field.name, reservedHeaderPrefix)
            || std::any_of(nonForwardableHeaders.begin(), nonForwardableHeaders.end(), matches)
            || std::any_of(connectionNames.begin(), connectionNames.end(), matches);
    };
    headers.erase(std::remove_if(headers.begin(), headers.end(), isNonForwardable), headers.end());
}

bool sameHeaderName(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size()
        && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

std::optional<std::string_view> findHeader(const std::vector<HeaderField>& headers, std::string_view name) noexcept
{
    for (const HeaderField& field : headers) {
        if (sameHeaderName(field.name, name)) {
            return field.value;
        }
    }
    return std::nullopt;
}

} // namespace jasminespread
