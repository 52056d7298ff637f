#include "burn/metric_labels.h"

namespace jasminespread {

std::map<std::string, std::string> parseMetricLabels(std::string_view labels)
{
    std::map<std::string, std::string> result;
    std::size_t position = 0;
    while (position < labels.size()) {
        const std::size_t nameEnd = labels.find("=\"", position);
        if (nameEnd == std::string_view::npos) {
            break;
        }
        const std::string name(labels.substr(position, nameEnd - position));
        std::string value;
        position = nameEnd + 2;
        while (position < labels.size() && labels[position] != '"') {
            if (labels[position] == '\\' && position + 1 < labels.size()) {
                ++position;
                value += labels[position] == 'n' ? '\n' : labels[position];
            } else {
                value += labels[position];
            }
            ++position;
        }
        if (position >= labels.size()) {
            break;
        }
        result[name] = std::move(value);
        // Skip the closing quote and the comma.
        position += 2;
    }
    return result;
}

} // namespace jasminespread
