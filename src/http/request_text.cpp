#include "http/request_text.h"

#include "entry/caller_request.h"

#include <algorithm>
#include <string_view>

namespace jasminespread {
namespace {

bool isTokenCharacter(unsigned char c)
{
    const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
    return isAlphanumeric
        || (c != 0 && std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
}

bool isToken(std::string_view text) { return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter); }

bool isTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return (c >= ' ' && c != 0x7f) || c == '\t'; });
}

bool isFraming(std::string_view name)
{
    return sameHeaderName(name, "Content-Length") || sameHeaderName(name, "Transfer-Encoding");
}

/// Whether a request of this method states its length also when it has no body.
bool statesEmptyBody(std::string_view method) { return method == "POST" || method == "PUT" || method == "OPTIONS"; }

} // namespace

std::optional<std::string> requestText(const BackendRequest& request)
{
    if (!isToken(request.method) || !isTarget(request.target)) {
        return std::nullopt;
    }
    std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const HeaderField& field : request.headers) {
        if (!isToken(field.name) || !isFieldValue(field.value)) {
            return std::nullopt;
        }
        if (!isFraming(field.name)) {
            text += field.name + ": " + field.value + "\r\n";
        }
    }
    if (!findHeader(request.headers, "Host")) {
        text += "Host: " + request.address + "\r\n";
    }
    if (!request.body.empty() || statesEmptyBody(request.method)) {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

} // namespace jasminespread
