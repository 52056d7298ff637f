#include <jasminespread/burn_report.h>

#include "burn/burn_format.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jasminespread {

namespace {

constexpr std::size_t maxDisplayedCauses = 5;

void writeObjective(std::ostream& out, const ObjectiveReport& objective)
{
    out << "  " << std::left << std::setw(14) << enumName(objectiveKindNames, objective.kind) << std::setw(24)
        << formatObjective(objective) << std::setw(11) << enumName(burnStateNames, objective.state) << "budget left "
        << (objective.budgetLeft ? formatPercent(*objective.budgetLeft) : "-") << '\n';
    for (const BurnWindow& window : objective.windows) {
        out << "    " << std::setw(6) << formatWindowLength(window.length) << std::right << std::setw(10)
            << window.requests << " requests " << std::setw(8) << window.bad << " bad  burn rate " << std::left
            << (window.burnRate ? formatNumber(*window.burnRate) : "- (no requests)");
        if (window.covered < window.length) {
            out << "  (covers " << std::chrono::duration_cast<std::chrono::seconds>(window.covered).count() << " s)";
        }
        out << '\n';
    }
}

} // namespace

std::string renderBurnText(const BurnReport& report)
{
    std::ostringstream out;
    out << "Service-level report of " << report.instances.size()
        << (report.instances.size() == 1 ? " instance:" : " instances:");
    for (const std::string& instance : report.instances) {
        out << ' ' << instance;
    }
    out << "\nAt " << formatReportTime(report.at) << ". Burn rate 1 uses up exactly the budget of the objective.\n";
    for (const ServiceBurn& service : report.services) {
        out << '\n' << service.service << '\n';
        for (const ObjectiveReport& objective : service.objectives) {
            writeObjective(out, objective);
        }
        out << "  last hour: imbalance " << (service.imbalance ? formatNumber(*service.imbalance) : "-") << " over "
            << service.loads.size() << " servers, " << service.partitionMoves << " moves of " << service.partitions
            << " partitions, " << formatNumber(service.unavailableSeconds) << " partition-seconds without an owner\n";
        const std::size_t displayedCauses = std::min(service.causes.size(), maxDisplayedCauses);
        for (std::size_t i = 0; i < displayedCauses; ++i) {
            const BurnCause& cause = service.causes[i];
            out << "  cause: " << cause.requests << " x " << cause.outcome << ' ' << cause.reason
                << (cause.server.empty() ? "" : " at " + cause.server) << '\n';
        }
    }
    return out.str();
}

} // namespace jasminespread
