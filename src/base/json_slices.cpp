#include "base/json_slices.h"

#include <algorithm>
#include <cstddef>

namespace jasminespread {
namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Returns the position behind the string that begins at @p at; npos when it does not end.
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (std::size_t i = at + 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

/// Returns the position of the comma or closing bracket that ends the member beginning at @p at; npos when none does.
std::size_t endOfMember(std::string_view text, std::size_t at)
{
    std::size_t depth = 0;
    while (at < text.size()) {
        const char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            continue;
        }
        if (c == '{' || c == '[') {
            ++depth;
        } else if (depth == 0 && (c == ',' || c == '}' || c == ']')) {
            return at;
        } else if (c == '}' || c == ']') {
            --depth;
        }
        ++at;
    }
    return std::string_view::npos;
}

/// Separates the name from the value of an object's member.
std::optional<JsonSlice> splitMember(std::string_view member)
{
    if (!member.starts_with('"')) {
        return std::nullopt;
    }
    const std::size_t end = endOfString(member, 0);
    const std::size_t colon = end == std::string_view::npos ? end : member.find_first_not_of(whitespace, end);
    if (colon == std::string_view::npos || member[colon] != ':') {
        return std::nullopt;
    }
    return JsonSlice {member.substr(1, end - 2), trimmed(member.substr(colon + 1))};
}

} // namespace

std::optional<std::vector<JsonSlice>> splitJson(std::string_view text)
{
    text = trimmed(text);
    const bool isObject = text.starts_with('{') && text.ends_with('}');
    const bool isArray = text.starts_with('[') && text.ends_with(']');
    if (text.size() < 2 || (!isObject && !isArray)) {
        return std::nullopt;
    }
    std::vector<JsonSlice> slices;
    if (trimmed(text.substr(1, text.size() - 2)).empty()) {
        return slices;
    }
    std::size_t begin = 1;
    while (begin < text.size()) {
        const std::size_t end = endOfMember(text, begin);
        if (end == std::string_view::npos || (text[end] != ',' && end + 1 != text.size())) {
            return std::nullopt;
        }
        const std::string_view member = trimmed(text.substr(begin, end - begin));
        const std::optional<JsonSlice> slice = isObject ? splitMember(member) : JsonSlice {{}, member};
        if (!slice) {
            return std::nullopt;
        }
        slices.push_back(*slice);
        begin = end + 1;
    }
    return slices;
}

std::optional<std::string_view> findSlice(const std::vector<JsonSlice>& slices, std::string_view name)
{
    const auto it
        = std::find_if(slices.rbegin(), slices.rend(), [name](const JsonSlice& slice) { return slice.name == name; });
    return it == slices.rend() ? std::nullopt : std::optional(it->text);
}

} // namespace jasminespread
