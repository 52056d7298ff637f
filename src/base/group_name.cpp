#include <jasminespread/group_record.h>

#include <charconv>

namespace jasminespread {

std::string toText(const GroupName& name) { return name.service + "." + std::to_string(name.index); }

std::optional<GroupName> parseGroupName(std::string_view text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(dot + 1);
    GroupName name {std::string(text.substr(0, dot)), 0};
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), name.index);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return name;
}

} // namespace jasminespread
