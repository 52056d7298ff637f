#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread::standins {

/// The objects of the platform's store, in memory. Not thread-safe.
class ObjectTable {
public:
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };

    struct Row {
        std::string name;
        Object object;
    };

    enum class Outcome : std::uint8_t { Written, Conflict };

    /// Writes when the current version is @p expected (0: does not exist; nothing: any).
    Outcome put(const std::string& kind, const std::string& name, std::optional<std::uint64_t> expected,
        const std::string& value);
    [[nodiscard]] const Object* find(const std::string& kind, const std::string& name) const;
    /// Lists the objects of @p kind with a version above @p after, by name.
    [[nodiscard]] std::vector<Row> list(const std::string& kind, std::uint64_t after) const;
    /// Version of the newest write to any object.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }

private:
    std::uint64_t m_version = 0;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
};

} // namespace jasminespread::standins
