#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace jasminespread {

namespace {

std::set<std::string> matchesIn(const std::filesystem::path& file, const std::regex& pattern)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    const std::string content = text.str();
    std::set<std::string> names;
    for (std::sregex_iterator it(content.begin(), content.end(), pattern), end; it != end; ++it) {
        names.insert((*it)[1]);
    }
    return names;
}

} // namespace

// Guards against a docs/metrics.md that omits metrics of the code or lists metrics that no longer exist.
TEST(MetricsPageTest, ListsTheMetricsOfTheCode)
{
    const std::filesystem::path root(SOURCE_DIR);
    std::set<std::string> usedNames;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() == ".cpp") {
            usedNames.merge(matchesIn(entry.path(), std::regex("\"(jasminespread_[a-z_]+)\"")));
        }
    }
    EXPECT_FALSE(usedNames.empty());
    EXPECT_EQ(matchesIn(root / "docs/metrics.md", std::regex("\\| `(jasminespread_[a-z_]+)` \\|")), usedNames);
}

} // namespace jasminespread
