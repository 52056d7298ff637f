#include <jasminespread/burn_report.h>

#include "burn/burn_report_fields.h"
#include "config/json_fields.h"

namespace jasminespread {

std::string encodeBurnReport(const BurnReport& report) { return boost::json::serialize(encodeJson(report)); }

Result<BurnReport> decodeBurnReport(std::string_view json)
{
    boost::system::error_code ec;
    const boost::json::value value = boost::json::parse(boost::json::string_view(json.data(), json.size()), ec);
    if (ec) {
        return fail(ErrorKind::InvalidInput, "burn report is not valid JSON: " + ec.message());
    }
    BurnReport report;
    std::string error;
    if (!decodeJson(value, "", report, error)) {
        return fail(ErrorKind::InvalidInput, "invalid burn report: " + error);
    }
    for (const ServiceBurn& service : report.services) {
        bool hasExpectedSizes = service.points.size() == burnPointCount;
        for (const ObjectiveReport& objective : service.objectives) {
            hasExpectedSizes = hasExpectedSizes && objective.windows.size() == burnWindowLengths.size();
        }
        if (!hasExpectedSizes) {
            return fail(ErrorKind::InvalidInput,
                "invalid burn report: service \"" + service.service + "\" does not have "
                    + std::to_string(burnWindowLengths.size()) + " windows per objective and "
                    + std::to_string(burnPointCount) + " points; run the same version on all instances");
        }
    }
    return report;
}

} // namespace jasminespread
