#include "burn/burn_format.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace jasminespread {

namespace {

constexpr double maxDisplayedValue = 10'000;

template <typename... Values> std::string format(const char* pattern, Values... values)
{
    std::array<char, 64> buf {};
    const int size = std::snprintf(buf.data(), buf.size(), pattern, values...);
    return {buf.data(), static_cast<std::size_t>(size)};
}

} // namespace

std::string formatNumber(double value)
{
    if (value > maxDisplayedValue) {
        return "over 10,000";
    }
    if (value != 0 && std::abs(value) < 0.01) {
        return format("%.3f", value);
    }
    return std::abs(value) >= 1000 ? format("%.0f", value) : format("%.3g", value);
}

std::string formatPercent(double share)
{
    if (share < -maxDisplayedValue) {
        return "overspent";
    }
    return format("%.5g", share * 100) + "%";
}

std::string formatWindowLength(Milliseconds length)
{
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(length).count();
    return minutes % 60 == 0 ? std::to_string(minutes / 60) + " h" : std::to_string(minutes) + " min";
}

std::string formatObjective(const ObjectiveReport& objective)
{
    std::string text = formatPercent(objective.target);
    if (objective.kind == ObjectiveKind::Latency) {
        text += " within " + std::to_string(objective.threshold.count()) + " ms";
    }
    return text;
}

std::string formatReportTime(WallTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm calendarTime {};
    gmtime_r(&seconds, &calendarTime);
    std::array<char, 32> buf {};
    const std::size_t size = std::strftime(buf.data(), buf.size(), "%Y-%m-%d %H:%M:%S UTC", &calendarTime);
    return {buf.data(), size};
}

} // namespace jasminespread
