#include "settings/text_values.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

namespace jasminespread {
namespace {

struct DurationUnit {
    std::string_view suffix;
    std::int64_t milliseconds;
};

// Ordered from the largest, because formatDuration uses the first unit that needs no fraction.
constexpr std::array<DurationUnit, 4> durationUnits {{{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}}};

/// Parses a decimal number without sign or spaces.
template <typename Integer> std::optional<Integer> parseDigits(std::string_view text)
{
    if (text.empty() || text.front() < '0' || text.front() > '9') {
        return std::nullopt;
    }
    Integer value {};
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Parses ".d", ".dd" or ".ddd", a fraction of a second, as milliseconds.
std::optional<int> parseFraction(std::string_view text)
{
    if (text.size() < 2 || text.size() > 4 || text.front() != '.') {
        return std::nullopt;
    }
    std::optional<int> value = parseDigits<int>(text.substr(1));
    for (std::size_t n = text.size(); value && n < 4; ++n) {
        *value *= 10;
    }
    return value;
}

} // namespace

std::optional<Milliseconds> parseDuration(std::string_view text)
{
    const std::size_t unitStart = text.find_first_not_of("0123456789");
    if (unitStart == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> number = parseDigits<std::int64_t>(text.substr(0, unitStart));
    for (const DurationUnit& unit : durationUnits) {
        if (number && unit.suffix == text.substr(unitStart)) {
            if (*number > std::numeric_limits<std::int64_t>::max() / unit.milliseconds) {
                return std::nullopt;
            }
            return Milliseconds(*number * unit.milliseconds);
        }
    }
    return std::nullopt;
}

std::string formatDuration(Milliseconds duration)
{
    const std::int64_t n = duration.count();
    for (const DurationUnit& unit : durationUnits) {
        if (n != 0 && n % unit.milliseconds == 0) {
            return std::to_string(n / unit.milliseconds) + std::string(unit.suffix);
        }
    }
    return "0ms";
}

std::optional<WallTime> parseUtcTime(std::string_view text)
{
    // Length of "YYYY-MM-DDTHH:MM:SS", without fraction and time zone.
    constexpr std::size_t dateTimeLength = 19;
    if (text.size() <= dateTimeLength || text.back() != 'Z' || text[4] != '-' || text[7] != '-' || text[10] != 'T'
        || text[13] != ':' || text[16] != ':') {
        return std::nullopt;
    }
    const std::optional<int> year = parseDigits<int>(text.substr(0, 4));
    const std::optional<unsigned> month = parseDigits<unsigned>(text.substr(5, 2));
    const std::optional<unsigned> day = parseDigits<unsigned>(text.substr(8, 2));
    const std::optional<int> hour = parseDigits<int>(text.substr(11, 2));
    const std::optional<int> minute = parseDigits<int>(text.substr(14, 2));
    const std::optional<int> second = parseDigits<int>(text.substr(17, 2));
    const std::string_view fractionText = text.substr(dateTimeLength, text.size() - dateTimeLength - 1);
    const std::optional<int> fraction = fractionText.empty() ? 0 : parseFraction(fractionText);
    if (!year || !month || !day || !hour || !minute || !second || !fraction || *hour > 23 || *minute > 59
        || *second > 59) {
        return std::nullopt;
    }
    const std::chrono::year_month_day date {
        std::chrono::year(*year), std::chrono::month(*month), std::chrono::day(*day)};
    if (!date.ok()) {
        return std::nullopt;
    }
    return WallTime(std::chrono::sys_days(date) + std::chrono::hours(*hour) + std::chrono::minutes(*minute)
        + std::chrono::seconds(*second) + Milliseconds(*fraction));
}

std::string formatUtcTime(WallTime time)
{
    const std::chrono::sys_days days = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(days);
    const std::chrono::hh_mm_ss<Milliseconds> timeOfDay(time - days);
    std::array<char, 64> buf {};
    std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
        static_cast<int>(timeOfDay.hours().count()), static_cast<int>(timeOfDay.minutes().count()),
        static_cast<int>(timeOfDay.seconds().count()));
    std::string text = buf.data();
    if (timeOfDay.subseconds().count() != 0) {
        std::snprintf(buf.data(), buf.size(), ".%03d", static_cast<int>(timeOfDay.subseconds().count()));
        text += buf.data();
    }
    return text + "Z";
}

bool isIpAddressAndPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::optional<std::uint16_t> port = parseDigits<std::uint16_t>(text.substr(colon + 1));
    if (!port || *port == 0) {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> buf {};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

std::string excerpt(const std::string& text)
{
    constexpr std::size_t maxBytes = 60; // Keeps an error message on one line.
    if (text.size() <= maxBytes) {
        return text;
    }
    std::size_t end = maxBytes;
    // Does not cut within a UTF-8 sequence, whose continuation bytes have the form 10xxxxxx.
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xc0) == 0x80) {
        --end;
    }
    return text.substr(0, end) + "...";
}

} // namespace jasminespread
