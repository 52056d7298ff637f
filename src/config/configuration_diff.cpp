#include "config/configuration_fields.h"
#include "config/json_fields.h"

#include <map>

namespace jasminespread {
namespace {

/// @name Keys of list items
/// Items of two lists with the same key are compared field by field.
/// @{
std::string itemKey(const Region& item) { return item.name; }
std::string itemKey(const Service& item) { return item.name; }
std::string itemKey(const WorkClass& item) { return item.name; }
std::string itemKey(const BackendServer& item) { return item.id; }
std::string itemKey(const PlannedStop& item) { return item.server; }
std::string itemKey(const HotKey& item) { return item.service + "/" + item.key; }
std::string itemKey(const RefusalRule& item)
{
    return item.service + "/" + (item.workClass.empty() ? "*" : item.workClass);
}
/// @}

/// A single value of a configuration, or a whole list item.
struct FlatEntry {
    std::string path;
    std::string value; ///< As JSON.
    std::string enclosingItem; ///< Path of the list item that contains the entry; empty outside lists.
    bool isWholeItem = false;
};

class ConfigurationFlattener {
public:
    template <typename T> void add(const std::string& path, const std::string& enclosingItem, const T& value)
    {
        m_entries.push_back({path, boost::json::serialize(encodeJson(value)), enclosingItem, false});
    }

    template <typename T>
    requires std::is_aggregate_v<T>
    void add(const std::string& path, const std::string& enclosingItem, const T& value)
    {
        visitFields(value, [&](std::string_view name, const auto& member, FieldPresence presence) {
            // Revision, author and change id describe the change itself and are not reported as differences.
            const bool isChangeMetadata
                = presence == FieldPresence::SystemAssigned || (path.empty() && name == "author");
            if (!isChangeMetadata) {
                add(path.empty() ? std::string(name) : path + "." + std::string(name), enclosingItem, member);
            }
        });
    }

    template <typename T>
    requires std::is_aggregate_v<T>
    void add(const std::string& path, const std::string& enclosingItem, const std::vector<T>& values)
    {
        for (const T& value : values) {
            const std::string itemPath = path + "[" + itemKey(value) + "]";
            m_entries.push_back({itemPath, boost::json::serialize(encodeJson(value)), enclosingItem, true});
            add(itemPath, itemPath, value);
        }
        if constexpr (std::same_as<T, WorkClass>) {
            // The first class is the default one, so that reordering the classes is a difference.
            m_entries.push_back(
                {path + " (first)", values.empty() ? "none" : values.front().name, enclosingItem, false});
        }
    }

    [[nodiscard]] const std::vector<FlatEntry>& entries() const noexcept { return m_entries; }

private:
    std::vector<FlatEntry> m_entries;
};

std::map<std::string, const FlatEntry*> indexByPath(const std::vector<FlatEntry>& entries)
{
    std::map<std::string, const FlatEntry*> index;
    for (const FlatEntry& entry : entries) {
        index.emplace(entry.path, &entry);
    }
    return index;
}

} // namespace

std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after)
{
    ConfigurationFlattener flatBefore;
    ConfigurationFlattener flatAfter;
    flatBefore.add("", "", before);
    flatAfter.add("", "", after);
    const std::map<std::string, const FlatEntry*> indexBefore = indexByPath(flatBefore.entries());
    const std::map<std::string, const FlatEntry*> indexAfter = indexByPath(flatAfter.entries());

    std::vector<std::string> differences;
    for (const FlatEntry& entry : flatBefore.entries()) {
        const std::map<std::string, const FlatEntry*>::const_iterator it = indexAfter.find(entry.path);
        if (it == indexAfter.end()) {
            if (entry.isWholeItem && (entry.enclosingItem.empty() || indexAfter.contains(entry.enclosingItem))) {
                differences.push_back(entry.path + ": removed " + entry.value);
            }
        } else if (!entry.isWholeItem && it->second->value != entry.value) {
            differences.push_back(entry.path + ": " + entry.value + " -> " + it->second->value);
        }
    }
    for (const FlatEntry& entry : flatAfter.entries()) {
        if (entry.isWholeItem && !indexBefore.contains(entry.path)
            && (entry.enclosingItem.empty() || indexBefore.contains(entry.enclosingItem))) {
            differences.push_back(entry.path + ": added " + entry.value);
        }
    }
    return differences;
}

} // namespace jasminespread
