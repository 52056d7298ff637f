#include <jasminespread/log_event.h>

#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>

namespace jasminespread {

namespace {

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against a docs/log-events.md that omits events, lists removed ones or has another level or meaning.
TEST(LogEventTest, PageMatchesCatalogue)
{
    std::set<std::string> expected;
    for (const LogEventInfo& info : logEventCatalogue) {
        std::ostringstream row;
        row << "| " << static_cast<unsigned>(info.event) << " | " << enumName(logLevelNames, info.level) << " | "
            << info.name << " | " << info.meaning << " |";
        expected.insert(row.str());
    }
    std::set<std::string> actual;
    std::istringstream page(readFile(std::string(SOURCE_DIR) + "/docs/log-events.md"));
    std::string line;
    while (std::getline(page, line)) {
        if (line.size() > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9') {
            actual.insert(line);
        }
    }
    EXPECT_EQ(actual, expected);
}

// Guards against two events that share a number or a name.
TEST(LogEventTest, NumbersAndNamesAreUnique)
{
    std::set<unsigned> numbers;
    std::set<std::string_view> names;
    for (const LogEventInfo& info : logEventCatalogue) {
        EXPECT_TRUE(numbers.insert(static_cast<unsigned>(info.event)).second) << info.name;
        EXPECT_TRUE(names.insert(info.name).second) << info.name;
    }
}

// Guards against details that forge further log lines, and against writing events below the configured level.
TEST(LogEventTest, WritesOneLinePerEvent)
{
    const std::string path
        = (std::filesystem::temp_directory_path() / ("log-event-test-" + std::to_string(getpid()))).string();
    setUpLogging("warning", path, "unit-test");
    logEvent(LogEvent::PeerLive, "peer=below-the-level");
    logEvent(LogEvent::PeerSilent, "peer=a\n2026-01-01T00:00:00.000Z ERROR 103 start-failed x forged\r\n");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    std::string text;
    while (text.empty() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        text = readFile(path);
    }
    std::remove(path.c_str());
    ASSERT_FALSE(text.empty());
    EXPECT_EQ(text.find('\n'), text.size() - 1) << text;
    EXPECT_EQ(text.find('\r'), std::string::npos);
    EXPECT_EQ(text.find("below-the-level"), std::string::npos);
    EXPECT_EQ(text.substr(23, 44), "Z WARN  301 peer-silent unit-test peer=a 202") << text;
}

} // namespace jasminespread
