#include "config/configuration_fields.h"
#include "config/json_fields.h"

namespace jasminespread {

std::string encodeConfiguration(const Configuration& configuration)
{
    return boost::json::serialize(encodeJson(configuration));
}

Result<Configuration> decodeConfiguration(std::string_view text)
{
    boost::system::error_code ec;
    const boost::json::value document = boost::json::parse(text, ec);
    if (ec) {
        return fail(ErrorKind::InvalidInput,
            "the configuration is not valid JSON: " + ec.message() + "; send the complete document");
    }
    Configuration configuration;
    std::string error;
    if (!decodeJson(document, "", configuration, error)) {
        return fail(ErrorKind::InvalidInput, error);
    }
    return configuration;
}

} // namespace jasminespread
