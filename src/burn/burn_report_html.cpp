#include <jasminespread/burn_report.h>

#include "burn/burn_format.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <sstream>

namespace jasminespread {

namespace {

constexpr std::size_t maxDisplayedCauses = 10;

/// @name Plot geometry in pixels
/// @{
constexpr double plotWidth = 880;
constexpr double plotHeight = 190;
constexpr double plotLeft = 62;
constexpr double plotRight = 14;
constexpr double plotTop = 12;
constexpr double plotBottom = 34;
constexpr double barHeight = 20;
constexpr double barLabelWidth = 190;
/// @}

constexpr const char* styleSheet = R"(
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2733; background: #fff; max-width: 920px; margin: 2em auto;
  padding: 0 1em; }
h1 { font-size: 1.5em; margin-bottom: 0; }
h2 { font-size: 1.25em; margin-top: 2.2em; border-bottom: 1px solid #cfd8e3; }
h3 { font-size: 1em; margin: 1.2em 0 .3em; }
p.note { color: #526173; margin-top: .3em; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { padding: .25em .8em .25em 0; text-align: right; }
th { font-weight: 600; color: #526173; }
th:first-child, td:first-child, td.text, th.text { text-align: left; }
tr + tr td { border-top: 1px solid #e6ebf1; }
.state { padding: .1em .6em; border-radius: 3px; color: #fff; font-weight: 600; }
.ok { background: #2f7d4f; } .slow-burn { background: #9a6700; } .fast-burn { background: #b3261e; }
.no-data { background: #67778a; }
svg { display: block; max-width: 100%; height: auto; }
svg text { font: 12px system-ui, sans-serif; fill: #526173; }
.axis { stroke: #9aa8b8; } .grid { stroke: #e6ebf1; } .limit { stroke: #b3261e; stroke-dasharray: 5 4; }
)";

std::string escapeHtml(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

/// Rounds the maximum of an axis up to 1, 2 or 5 times a power of ten.
double roundUpForAxis(double value)
{
    double step = 1e-6;
    while (step < value) {
        for (const double factor : {1.0, 2.0, 5.0}) {
            if (step * factor >= value) {
                return step * factor;
            }
        }
        step *= 10;
    }
    return step;
}

/// Draws one value per interval as a step line with gaps at intervals without a value.
void writeLinePlot(std::ostream& out, const std::string& title, const std::vector<std::optional<double>>& values,
    std::optional<double> limit, const std::string& limitLabel, const std::function<std::string(double)>& formatValue)
{
    double largest = limit.value_or(0) * 1.5;
    bool hasNoValues = true;
    for (const std::optional<double>& value : values) {
        largest = std::max(largest, value.value_or(0));
        hasNoValues = hasNoValues && !value;
    }
    const double axisMax = roundUpForAxis(std::max(largest, 1e-4));
    const double innerWidth = plotWidth - plotLeft - plotRight;
    const double innerHeight = plotHeight - plotTop - plotBottom;
    const auto x = [&](double index) { return plotLeft + innerWidth * index / static_cast<double>(values.size()); };
    const auto y = [&](double value) { return plotTop + innerHeight * (1 - std::min(value / axisMax, 1.0)); };
    out << "<h3>" << escapeHtml(title) << "</h3>\n<svg viewBox=\"0 0 " << plotWidth << ' ' << plotHeight
        << "\" role=\"img\" aria-label=\"" << escapeHtml(title) << "\">\n";
    for (const double share : {0.0, 0.5, 1.0}) {
        const double lineY = y(axisMax * share);
        out << "<line class=\"" << (share == 0 ? "axis" : "grid") << "\" x1=\"" << plotLeft << "\" x2=\""
            << plotWidth - plotRight << "\" y1=\"" << lineY << "\" y2=\"" << lineY
            << "\"/><text text-anchor=\"end\" x=\"" << plotLeft - 6 << "\" y=\"" << lineY + 4 << "\">"
            << formatValue(axisMax * share) << "</text>\n";
    }
    for (int hour = 6; hour >= 0; --hour) {
        const double tickX = x(static_cast<double>(values.size()) * (6 - hour) / 6.0);
        out << "<text text-anchor=\"" << (hour == 0 ? "end" : "middle") << "\" x=\"" << tickX << "\" y=\""
            << plotHeight - 12 << "\">" << (hour == 0 ? "now" : "-" + std::to_string(hour) + " h") << "</text>\n";
    }
    if (limit) {
        out << "<line class=\"limit\" x1=\"" << plotLeft << "\" x2=\"" << plotWidth - plotRight << "\" y1=\""
            << y(*limit) << "\" y2=\"" << y(*limit) << "\"/><text x=\"" << plotLeft + 6 << "\" y=\"" << y(*limit) - 5
            << "\">" << escapeHtml(limitLabel) << "</text>\n";
    }
    std::string path;
    bool isPathOpen = false;
    for (std::size_t i = 0; i < values.size(); ++i) {
        if (!values[i]) {
            isPathOpen = false;
            continue;
        }
        const double valueY = y(*values[i]);
        std::ostringstream segment;
        segment << (isPathOpen ? 'L' : 'M') << x(static_cast<double>(i)) << ' ' << valueY << 'H'
                << x(static_cast<double>(i + 1));
        path += segment.str();
        isPathOpen = true;
    }
    out << "<path d=\"" << path << "\" fill=\"none\" stroke=\"#1f5fa8\" stroke-width=\"2\"/>\n";
    if (hasNoValues) {
        out << "<text text-anchor=\"middle\" x=\"" << plotWidth / 2 << "\" y=\"" << plotHeight / 2
            << "\">no requests</text>\n";
    }
    out << "</svg>\n";
}

void writeLoads(std::ostream& out, const std::vector<ServerLoad>& loads)
{
    std::uint64_t largest = 1;
    for (const ServerLoad& load : loads) {
        largest = std::max(largest, load.requests);
    }
    const double height = barHeight * static_cast<double>(loads.size()) + 4;
    out << "<h3>Requests per server in the last hour</h3>\n<svg viewBox=\"0 0 " << plotWidth << ' ' << height
        << "\" role=\"img\" aria-label=\"Requests per server\">\n";
    double rowTop = 0;
    for (const ServerLoad& load : loads) {
        const double share = static_cast<double>(load.requests) / static_cast<double>(largest);
        const double width = share * (plotWidth - barLabelWidth - 90);
        out << "<text text-anchor=\"end\" x=\"" << barLabelWidth - 8 << "\" y=\"" << rowTop + 15 << "\">"
            << escapeHtml(load.server) << "</text><rect x=\"" << barLabelWidth << "\" y=\"" << rowTop + 3
            << "\" width=\"" << width << "\" height=\"" << barHeight - 6 << "\" fill=\"#1f5fa8\"/><text x=\""
            << barLabelWidth + width + 6 << "\" y=\"" << rowTop + 15 << "\">" << load.requests << "</text>\n";
        rowTop += barHeight;
    }
    out << "</svg>\n";
}

void writeObjectives(std::ostream& out, const std::vector<ObjectiveReport>& objectives)
{
    out << "<table><tr><th>objective</th><th class=\"text\">target</th><th class=\"text\">state</th>"
           "<th>budget left (6 h)</th>";
    for (const Milliseconds length : burnWindowLengths) {
        out << "<th>burn rate " << formatWindowLength(length) << "</th>";
    }
    out << "</tr>\n";
    for (const ObjectiveReport& objective : objectives) {
        const std::string_view state = enumName(burnStateNames, objective.state);
        out << "<tr><td>" << enumName(objectiveKindNames, objective.kind) << "</td><td class=\"text\">"
            << formatObjective(objective) << "</td><td class=\"text\"><span class=\"state " << state << "\">" << state
            << "</span></td><td>" << (objective.budgetLeft ? formatPercent(*objective.budgetLeft) : "-") << "</td>";
        for (const BurnWindow& window : objective.windows) {
            out << "<td title=\"" << window.bad << " of " << window.requests << " requests\">"
                << (window.burnRate ? formatNumber(*window.burnRate) : "-") << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

std::optional<double> shareOf(std::uint64_t part, std::uint64_t whole)
{
    if (whole == 0) {
        return std::nullopt;
    }
    return static_cast<double>(part) / static_cast<double>(whole);
}

void writePlots(std::ostream& out, const ServiceBurn& service)
{
    std::vector<std::optional<double>> requestRates;
    std::vector<std::optional<double>> unavailableShares;
    std::vector<std::optional<double>> slowShares;
    const double intervalSeconds = std::chrono::duration<double>(burnPointLength).count();
    for (const BurnPoint& point : service.points) {
        requestRates.emplace_back(static_cast<double>(point.requests) / intervalSeconds);
        unavailableShares.push_back(shareOf(point.unavailable, point.requests));
        slowShares.push_back(shareOf(point.slow, point.measured));
    }
    writeLinePlot(out, "Requests per second", requestRates, std::nullopt, "", formatNumber);
    for (const ObjectiveReport& objective : service.objectives) {
        const bool isLatency = objective.kind == ObjectiveKind::Latency;
        const double allowedShare = 1 - objective.target;
        writeLinePlot(out,
            isLatency ? "Share of requests above " + std::to_string(objective.threshold.count()) + " ms"
                      : std::string("Share of requests not answered"),
            isLatency ? slowShares : unavailableShares, allowedShare, "allowed " + formatPercent(allowedShare),
            formatPercent);
    }
}

void writeCauses(std::ostream& out, const std::vector<BurnCause>& causes)
{
    if (causes.empty()) {
        return;
    }
    out << "<h3>Most frequent causes in the last hour</h3>\n<table><tr><th>requests</th><th class=\"text\">outcome</th>"
           "<th class=\"text\">reason</th><th class=\"text\">server</th></tr>\n";
    for (std::size_t i = 0; i < std::min(causes.size(), maxDisplayedCauses); ++i) {
        const BurnCause& cause = causes[i];
        out << "<tr><td>" << cause.requests << "</td><td class=\"text\">" << escapeHtml(cause.outcome)
            << "</td><td class=\"text\">" << escapeHtml(cause.reason) << "</td><td class=\"text\">"
            << escapeHtml(cause.server) << "</td></tr>\n";
    }
    out << "</table>\n";
}

} // namespace

std::string renderBurnHtml(const BurnReport& report)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" "
           "content=\"width=device-width\"><title>Service-level report</title><style>"
        << styleSheet << "</style></head>\n<body><h1>Service-level report</h1>\n<p class=\"note\">"
        << formatReportTime(report.at) << ", " << report.instances.size()
        << (report.instances.size() == 1 ? " instance:" : " instances:");
    for (const std::string& instance : report.instances) {
        out << ' ' << escapeHtml(instance);
    }
    out << ".<br>Burn rate 1 uses up exactly the budget of an objective. Fast burn: above " << fastBurnRate
        << " over 5 min and 1 h. Slow burn: above " << slowBurnRate << " over 30 min and 6 h.</p>\n";
    if (report.services.empty()) {
        out << "<p>No configuration is in force, so there are no objectives.</p>\n";
    }
    for (const ServiceBurn& service : report.services) {
        out << "<section><h2>" << escapeHtml(service.service) << "</h2>\n";
        writeObjectives(out, service.objectives);
        out << "<p>Last hour: imbalance <b>" << (service.imbalance ? formatNumber(*service.imbalance) : "-")
            << "</b> (largest load divided by mean load), <b>" << service.partitionMoves << "</b> moves of "
            << service.partitions << " partitions, <b>" << formatNumber(service.unavailableSeconds)
            << "</b> partition-seconds without an owner.</p>\n";
        writeCauses(out, service.causes);
        writePlots(out, service);
        if (!service.loads.empty()) {
            writeLoads(out, service.loads);
        }
        out << "</section>\n";
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace jasminespread
