#pragma once

#include "settings/field_presence.h"

#include <jasminespread/enum_names.h>
#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace jasminespread {

/// Reads a YAML document into aggregates that have a visitFields() function, which names their fields.
/// Reading goes on after an error, so that one run reports all of them. Not thread-safe.
class YamlReader {
public:
    /// Parses @p text. @p file names the source in errors.
    YamlReader(std::string_view text, std::string file);

    /// Reads the document's top-level map. Fields that are absent or wrong keep their value in @p value.
    template <typename T> void readDocument(T& value)
    {
        if (m_parsed) {
            readMap(m_root, "", value);
        }
    }

    /// Reports an error at the field @p path (for example "servers[2].address"), unless that field or one around it
    /// could not be read.
    void reportAt(const std::string& path, const std::string& message);

    /// Whether the text was valid YAML with a map at the top.
    [[nodiscard]] bool parsed() const noexcept { return m_parsed; }

    /// Returns the errors in the order of their positions.
    [[nodiscard]] std::vector<Error> errors() const;

private:
    using Fields = std::map<std::string, YAML::Node, std::less<>>;

    /// @name Typed values
    /// Each overload reports an error and leaves the value alone when the node does not hold such a value.
    /// @{
    void read(const YAML::Node& node, const std::string& path, std::string& value);
    void read(const YAML::Node& node, const std::string& path, std::uint32_t& value);
    void read(const YAML::Node& node, const std::string& path, std::uint64_t& value);
    void read(const YAML::Node& node, const std::string& path, double& value);
    void read(const YAML::Node& node, const std::string& path, Milliseconds& value);
    void read(const YAML::Node& node, const std::string& path, WallTime& value);

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void read(const YAML::Node& node, const std::string& path, Enum& value)
    {
        const std::optional<std::string> text = scalar(node, path);
        if (!text) {
            return;
        }
        const std::optional<Enum> parsed = enumValue(namesOf(value), *text);
        if (parsed) {
            value = *parsed;
            return;
        }
        std::string choices;
        for (const EnumName<Enum>& row : namesOf(value)) {
            choices += (choices.empty() ? "" : ", ") + std::string(row.name);
        }
        reportValue(node, path, *text, "is not one of: " + choices);
    }

    template <typename T> void read(const YAML::Node& node, const std::string& path, std::vector<T>& value)
    {
        if (!isSequence(node, path)) {
            return;
        }
        value.clear();
        for (std::size_t i = 0; i < node.size(); ++i) {
            read(node[i], path + "[" + std::to_string(i) + "]", value.emplace_back());
        }
    }

    template <typename T> void read(const YAML::Node& node, const std::string& path, std::map<std::string, T>& value)
    {
        value.clear();
        for (const auto& [name, child] : collectFields(node, path)) {
            read(child, join(path, name), value[name]);
        }
    }

    /// An aggregate with visitFields().
    template <typename T>
    requires std::is_aggregate_v<T>
    void read(const YAML::Node& node, const std::string& path, T& value) { readMap(node, path, value); }
    /// @}

    template <typename T> void readMap(const YAML::Node& node, const std::string& path, T& value)
    {
        Fields fields = collectFields(node, path);
        if (!node.IsMap()) {
            return;
        }
        std::string known;
        visitFields(value, [&](std::string_view name, auto& member, FieldPresence presence) {
            if (presence == FieldPresence::Assigned) {
                return;
            }
            known += (known.empty() ? "" : ", ") + std::string(name);
            const Fields::iterator it = fields.find(name);
            if (it == fields.end()) {
                if (presence == FieldPresence::Required) {
                    reportMissing(node, join(path, name));
                }
                return;
            }
            read(it->second, join(path, name), member);
            fields.erase(it);
        });
        for (const auto& [name, child] : fields) {
            reportUnknown(join(path, name), known);
        }
    }

    /// Returns the fields of a map; reports duplicates and nodes that are not maps.
    [[nodiscard]] Fields collectFields(const YAML::Node& node, const std::string& path);
    [[nodiscard]] bool isSequence(const YAML::Node& node, const std::string& path);
    [[nodiscard]] std::optional<std::string> scalar(const YAML::Node& node, const std::string& path);
    template <typename Integer> void readInteger(const YAML::Node& node, const std::string& path, Integer& value);

    void addError(const YAML::Mark& mark, const std::string& path, const std::string& message);
    /// Reports a field without a usable value; later checks of its value are pointless.
    void reportUnreadable(const YAML::Mark& mark, const std::string& path, const std::string& message);
    void reportValue(
        const YAML::Node& node, const std::string& path, const std::string& value, const std::string& message);
    void reportMissing(const YAML::Node& node, const std::string& path);
    void reportUnknown(const std::string& path, const std::string& known);
    [[nodiscard]] static std::string join(const std::string& path, std::string_view name);

    std::string m_file;
    YAML::Node m_root;
    bool m_parsed = false;
    std::vector<Error> m_errors;
    std::map<std::string, YAML::Mark> m_marks; ///< Position of each field seen, by path.
    std::set<std::string> m_unreadablePaths;
};

} // namespace jasminespread
