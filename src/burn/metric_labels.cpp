#include "burn/metric_labels.h"

namespace jasminespread {

std::map<std::string, std::string> parseMetricLabels(std::string_view labels)
{
    std::map<std::string, std::string> result;
    std::size_t at = 0;
    while (at < labels.size()) {
        const std::size_t equals = labels.find("=\"", at);
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string name(labels.substr(at, equals - at));
        std::string value;
        at = equals + 2;
        while (at < labels.size() && labels[at] != '"') {
            if (labels[at] == '\\' && at + 1 < labels.size()) {
                ++at;
                value += labels[at] == 'n' ? '\n' : labels[at];
            } else {
                value += labels[at];
            }
            ++at;
        }
        if (at >= labels.size()) {
            break;
        }
        result[name] = std::move(value);
        // Skips the closing quote and the comma.
        at += 2;
    }
    return result;
}

} // namespace jasminespread
