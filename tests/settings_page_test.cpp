#include "config/configuration_fields.h"
#include "settings/instance_settings_fields.h"
#include "settings/text_values.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>
#include <charconv>
#include <fstream>
#include <map>

namespace jasminespread {
namespace {

/// Collects the table cells "| `field` | type | default |" of every field that a user may write.
class TableRowCollector {
public:
    template <typename T> void addFieldsOf(const T& value, const std::string& prefix)
    {
        visitFields(value, [&](std::string_view name, const auto& member, FieldPresence presence) {
            if (presence != FieldPresence::SystemAssigned) {
                const std::string path = prefix + std::string(name);
                const std::string firstCells = "| `" + path + "` | " + typeOf(member) + " | ";
                rows.push_back(
                    firstCells + (presence == FieldPresence::Required ? "required" : defaultOf(member)) + " |");
                addNestedFields(member, path);
            }
        });
    }

    std::vector<std::string> rows;

private:
    static std::string typeOf(const std::string&) { return "text"; }
    static std::string typeOf(std::uint32_t) { return "whole number"; }
    static std::string typeOf(std::uint64_t) { return "whole number"; }
    static std::string typeOf(double) { return "number"; }
    static std::string typeOf(Milliseconds) { return "duration"; }
    static std::string typeOf(WallTime) { return "time"; }
    static std::string typeOf(GrantCheck) { return "`checked` or `unchecked`"; }
    static std::string typeOf(const std::vector<std::string>&) { return "list of text"; }
    template <typename T> static std::string typeOf(const std::vector<T>&) { return "list"; }
    template <typename T> static std::string typeOf(const T&) { return "map"; }

    static std::string defaultOf(const std::string& value) { return value.empty() ? "empty" : "`" + value + "`"; }
    static std::string defaultOf(std::uint32_t value) { return std::to_string(value); }
    static std::string defaultOf(std::uint64_t value) { return std::to_string(value); }
    static std::string defaultOf(Milliseconds value) { return formatDuration(value); }
    static std::string defaultOf(GrantCheck value) { return "`" + std::string(enumName(grantCheckNames, value)) + "`"; }
    template <typename T> static std::string defaultOf(const std::vector<T>&) { return "empty"; }
    template <typename T> static std::string defaultOf(const std::map<std::string, T>&) { return "empty"; }
    template <typename T> static std::string defaultOf(const T&) { return "by field"; }
    static std::string defaultOf(double value)
    {
        std::array<char, 32> buf {};
        return {buf.data(), std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr};
    }

    template <typename T> void addNestedFields(const std::vector<T>&, const std::string& path)
    {
        if constexpr (std::is_aggregate_v<T>) {
            addFieldsOf(T(), path + "[].");
        }
    }
    template <typename T> void addNestedFields(const std::map<std::string, T>&, const std::string& path)
    {
        addFieldsOf(T(), path + ".<instance>.");
    }
    template <typename T> void addNestedFields(const T& value, const std::string& path)
    {
        if constexpr (std::is_aggregate_v<T>) {
            addFieldsOf(value, path + ".");
        }
    }
};

/// Returns the first three cells of each table row about a field in a section of docs/settings.md.
std::vector<std::string> tableRowsOfSection(const std::string& section)
{
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/settings.md");
    EXPECT_TRUE(file);
    std::vector<std::string> rows;
    bool inSection = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("## ")) {
            inSection = line == "## " + section;
        }
        if (inSection && line.starts_with("| `")) {
            std::size_t end = 0;
            for (int cell = 0; cell < 4 && end != std::string::npos; ++cell) {
                end = line.find('|', end) + 1;
            }
            rows.push_back(line.substr(0, end));
            EXPECT_GT(line.size(), end + 10) << "row without a description: " << line;
        }
    }
    return rows;
}

} // namespace

// Guards against sheet fields that docs/settings.md omits or lists with another name, type or default.
TEST(SettingsPageTest, ListsEveryFieldOfTheSheet)
{
    TableRowCollector collector;
    collector.addFieldsOf(Configuration(), "");
    EXPECT_THAT(tableRowsOfSection("Sheet"), testing::ElementsAreArray(collector.rows));
}

// Guards against instance settings that docs/settings.md omits or lists with another name, type or default.
TEST(SettingsPageTest, ListsEveryFieldOfTheInstanceSettings)
{
    TableRowCollector collector;
    collector.addFieldsOf(InstanceSettings(), "");
    EXPECT_THAT(tableRowsOfSection("Instance settings"), testing::ElementsAreArray(collector.rows));
}

} // namespace jasminespread
