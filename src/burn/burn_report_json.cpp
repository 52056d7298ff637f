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
        return fail(ErrorKind::InvalidInput, "burn report is not JSON: " + ec.message());
    }
    BurnReport report;
    std::string error;
    if (!decodeJson(value, "", report, error)) {
        return fail(ErrorKind::InvalidInput, "burn report: " + error);
    }
    for (const ServiceBurn& service : report.services) {
        bool sizesMatch = service.points.size() == burnPointCount;
        for (const ObjectiveReport& objective : service.objectives) {
            sizesMatch = sizesMatch && objective.windows.size() == burnWindowLengths.size();
        }
        if (!sizesMatch) {
            return fail(ErrorKind::InvalidInput,
                "burn report: service \"" + service.service + "\" has another number of windows or points than "
                    + std::to_string(burnWindowLengths.size()) + " and " + std::to_string(burnPointCount)
                    + "; use the same version of the program for all instances");
        }
    }
    return report;
}

} // namespace jasminespread
