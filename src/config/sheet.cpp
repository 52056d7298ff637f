#include "config/configuration_check.h"
#include "config/configuration_fields.h"
#include "settings/yaml_reader.h"

#include <jasminespread/sheet.h>

namespace jasminespread {

SheetResult parseSheet(std::string_view yaml, const std::string& file)
{
    YamlReader reader(yaml, file);
    Configuration configuration;
    reader.readDocument(configuration);
    if (reader.hasRootMap()) {
        for (const FieldError& fieldError : findFieldErrors(configuration)) {
            reader.reportError(fieldError.path, fieldError.message);
        }
    }
    SheetResult result {std::nullopt, reader.errors()};
    if (result.errors.empty()) {
        result.configuration = std::move(configuration);
    }
    return result;
}

} // namespace jasminespread
