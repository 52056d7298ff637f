#include "config/configuration_fields.h"
#include "config/json_fields.h"

#include <map>

namespace jasminespread {
namespace {

/// @name Identity of list items
/// Items of two lists with the same identity are compared field by field.
/// @{
std::string identityOf(const Region& item) { return item.name; }
std::string identityOf(const Service& item) { return item.name; }
std::string identityOf(const WorkClass& item) { return item.name; }
std::string identityOf(const BackendServer& item) { return item.id; }
std::string identityOf(const PlannedStop& item) { return item.server; }
std::string identityOf(const HotKey& item) { return item.service + "/" + item.key; }
std::string identityOf(const RefusalRule& item)
{
    return item.service + "/" + (item.workClass.empty() ? "*" : item.workClass);
}
/// @}

/// One value of a configuration, or one whole list item.
struct Line {
    std::string path;
    std::string value; ///< As JSON.
    std::string item; ///< Path of the list item around it; empty outside lists.
    bool wholeItem = false;
};

class Flattener {
public:
    template <typename T> void add(const std::string& path, const std::string& item, const T& value)
    {
        m_lines.push_back({path, boost::json::serialize(encodeJson(value)), item, false});
    }

    template <typename T>
    requires std::is_aggregate_v<T>
    void add(const std::string& path, const std::string& item, const T& value)
    {
        visitFields(value, [&](std::string_view name, const auto& member, FieldPresence presence) {
            // Revision, author and change id describe a change; they are not part of it.
            const bool describesChange = presence == FieldPresence::Assigned || (path.empty() && name == "author");
            if (!describesChange) {
                add(path.empty() ? std::string(name) : path + "." + std::string(name), item, member);
            }
        });
    }

    template <typename T>
    requires std::is_aggregate_v<T>
    void add(const std::string& path, const std::string& item, const std::vector<T>& values)
    {
        for (const T& value : values) {
            const std::string itemPath = path + "[" + identityOf(value) + "]";
            m_lines.push_back({itemPath, boost::json::serialize(encodeJson(value)), item, true});
            add(itemPath, itemPath, value);
        }
        if constexpr (std::same_as<T, WorkClass>) {
            // The first class is the default, so the order matters.
            m_lines.push_back({path + " (first)", values.empty() ? "none" : values.front().name, item, false});
        }
    }

    [[nodiscard]] const std::vector<Line>& lines() const noexcept { return m_lines; }

private:
    std::vector<Line> m_lines;
};

std::map<std::string, const Line*> indexByPath(const std::vector<Line>& lines)
{
    std::map<std::string, const Line*> index;
    for (const Line& line : lines) {
        index.emplace(line.path, &line);
    }
    return index;
}

} // namespace

std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after)
{
    Flattener flatBefore;
    Flattener flatAfter;
    flatBefore.add("", "", before);
    flatAfter.add("", "", after);
    const std::map<std::string, const Line*> indexBefore = indexByPath(flatBefore.lines());
    const std::map<std::string, const Line*> indexAfter = indexByPath(flatAfter.lines());

    std::vector<std::string> differences;
    for (const Line& line : flatBefore.lines()) {
        const std::map<std::string, const Line*>::const_iterator it = indexAfter.find(line.path);
        if (it == indexAfter.end()) {
            if (line.wholeItem && (line.item.empty() || indexAfter.contains(line.item))) {
                differences.push_back(line.path + ": removed " + line.value);
            }
        } else if (!line.wholeItem && it->second->value != line.value) {
            differences.push_back(line.path + ": " + line.value + " -> " + it->second->value);
        }
    }
    for (const Line& line : flatAfter.lines()) {
        if (line.wholeItem && !indexBefore.contains(line.path)
            && (line.item.empty() || indexBefore.contains(line.item))) {
            differences.push_back(line.path + ": added " + line.value);
        }
    }
    return differences;
}

} // namespace jasminespread
