#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread::standins {

/// Versioned objects of the platform's store, in memory. All objects share one version counter. Not thread-safe.
class ObjectTable {
public:
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };

    struct NamedObject {
        std::string name;
        Object object;
    };

    enum class WriteOutcome : std::uint8_t { Written, Conflict };

    /// Writes the object if its current version is @p expectedVersion: 0 means that it must not exist, no value means
    /// any version.
    WriteOutcome put(const std::string& kind, const std::string& name, std::optional<std::uint64_t> expectedVersion,
        const std::string& value);
    /// Returns nullptr if the object does not exist.
    [[nodiscard]] const Object* find(const std::string& kind, const std::string& name) const;
    /// Lists the objects of @p kind with a version above @p afterVersion, ordered by name.
    [[nodiscard]] std::vector<NamedObject> list(const std::string& kind, std::uint64_t afterVersion) const;
    /// Version assigned by the latest write to any object; 0 before the first.
    [[nodiscard]] std::uint64_t latestVersion() const noexcept { return m_latestVersion; }

private:
    std::uint64_t m_latestVersion = 0;
    std::map<std::string, std::map<std::string, Object>> m_objectsByKind;
};

} // namespace jasminespread::standins
