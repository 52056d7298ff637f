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

/// Reads a YAML document into aggregates whose fields are listed by a visitFields() function. Continues after an error,
/// so that all errors of a document are reported together. Not thread-safe.
class YamlReader {
public:
    /// Parses @p text. @p file is the source that errors name.
    YamlReader(std::string_view text, std::string file);

    /// Reads the document's root map. Members of @p value whose fields are absent or invalid keep their value.
    template <typename T> void readDocument(T& value)
    {
        if (m_hasRootMap) {
            readFields(m_root, "", value);
        }
    }

    /// Reports an error at the field @p path (for example "servers[2].address"), unless an error has already been
    /// reported for the value of this field or of one that contains it.
    void reportError(const std::string& path, const std::string& message);

    /// Whether the text is valid YAML whose root is a map.
    [[nodiscard]] bool hasRootMap() const noexcept { return m_hasRootMap; }

    /// Returns the errors sorted by their positions.
    [[nodiscard]] std::vector<Error> errors() const;

private:
    using Fields = std::map<std::string, YAML::Node, std::less<>>;

    /// @name Typed values
    /// Each overload reports an error and leaves @p value unchanged when the node does not hold a value of its type.
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
        const std::optional<std::string> text = readScalar(node, path);
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
        if (!checkSequence(node, path)) {
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
            read(child, joinPath(path, name), value[name]);
        }
    }

    /// Reads an aggregate that has visitFields().
    template <typename T>
    requires std::is_aggregate_v<T>
    void read(const YAML::Node& node, const std::string& path, T& value) { readFields(node, path, value); }
    /// @}

    template <typename T> void readFields(const YAML::Node& node, const std::string& path, T& value)
    {
        Fields fields = collectFields(node, path);
        if (!node.IsMap()) {
            return;
        }
        std::string knownNames;
        visitFields(value, [&](std::string_view name, auto& member, FieldPresence presence) {
            if (presence == FieldPresence::SystemAssigned) {
                return;
            }
            knownNames += (knownNames.empty() ? "" : ", ") + std::string(name);
            const Fields::iterator it = fields.find(name);
            if (it == fields.end()) {
                if (presence == FieldPresence::Required) {
                    reportMissing(node, joinPath(path, name));
                }
                return;
            }
            read(it->second, joinPath(path, name), member);
            fields.erase(it);
        });
        for (const auto& [name, child] : fields) {
            reportUnknown(joinPath(path, name), knownNames);
        }
    }

    /// Returns the fields of a map and records their positions. Reports duplicates and nodes that are not maps.
    [[nodiscard]] Fields collectFields(const YAML::Node& node, const std::string& path);
    /// Whether the node is a sequence. Records the positions of its items, or reports an error.
    [[nodiscard]] bool checkSequence(const YAML::Node& node, const std::string& path);
    /// Returns the text of a scalar and records its position; otherwise reports an error and returns nothing.
    [[nodiscard]] std::optional<std::string> readScalar(const YAML::Node& node, const std::string& path);
    template <typename Integer> void readInteger(const YAML::Node& node, const std::string& path, Integer& value);

    void addError(const YAML::Mark& mark, const std::string& path, const std::string& message);
    /// Reports a field that has no valid value, and suppresses later errors about that value.
    void reportInvalid(const YAML::Mark& mark, const std::string& path, const std::string& message);
    void reportValue(
        const YAML::Node& node, const std::string& path, const std::string& value, const std::string& message);
    void reportMissing(const YAML::Node& node, const std::string& path);
    void reportUnknown(const std::string& path, const std::string& knownNames);
    [[nodiscard]] static std::string joinPath(const std::string& path, std::string_view name);

    std::string m_file;
    YAML::Node m_root;
    bool m_hasRootMap = false;
    std::vector<Error> m_errors;
    std::map<std::string, YAML::Mark> m_marksByPath; ///< Position of each field read so far.
    std::set<std::string> m_invalidPaths;
};

} // namespace jasminespread
