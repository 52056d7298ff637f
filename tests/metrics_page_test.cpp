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
    std::set<std::string> found;
    for (std::sregex_iterator it(content.begin(), content.end(), pattern), end; it != end; ++it) {
        found.insert((*it)[1]);
    }
    return found;
}

} // namespace

// Guards against a page of metrics that lacks names used in the code or lists names that no longer exist.
TEST(MetricsPageTest, ListsTheMetricsOfTheCode)
{
    const std::filesystem::path root(SOURCE_DIR);
    std::set<std::string> used;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() == ".cpp") {
            used.merge(matchesIn(entry.path(), std::regex("\"(jasminespread_[a-z_]+)\"")));
        }
    }
    EXPECT_FALSE(used.empty());
    EXPECT_EQ(matchesIn(root / "docs/metrics.md", std::regex("\\| `(jasminespread_[a-z_]+)` \\|")), used);
}

} // namespace jasminespread
