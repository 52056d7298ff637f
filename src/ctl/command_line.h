#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

enum class Command : std::uint8_t {
    Validate,
    Diff,
    Load,
    Show,
    Status,
    HotKeyAdd,
    HotKeyRemove,
    StopAdd,
    StopRemove,
    RuleAdd,
    RuleRemove,
    PoolAdd,
    PoolRemove,
    DeclareGone,
    DeclareLost,
    Report
};

inline constexpr std::array<EnumName<Command>, 16> commandNames {{
    {Command::Validate, "validate"},
    {Command::Diff, "diff"},
    {Command::Load, "load"},
    {Command::Show, "show"},
    {Command::Status, "status"},
    {Command::HotKeyAdd, "hotkey add"},
    {Command::HotKeyRemove, "hotkey remove"},
    {Command::StopAdd, "stop add"},
    {Command::StopRemove, "stop remove"},
    {Command::RuleAdd, "rule add"},
    {Command::RuleRemove, "rule remove"},
    {Command::PoolAdd, "pool add"},
    {Command::PoolRemove, "pool remove"},
    {Command::DeclareGone, "declare-gone"},
    {Command::DeclareLost, "declare-lost"},
    {Command::Report, "report"},
}};

enum class OutputForm : std::uint8_t { Text, Json };

inline constexpr std::array<EnumName<OutputForm>, 2> outputFormNames {{
    {OutputForm::Text, "text"},
    {OutputForm::Json, "json"},
}};

/// One parsed invocation of jasminespreadctl.
struct Invocation {
    std::optional<std::string> help; ///< Text to print instead of running a command.
    Command command = Command::Validate;
    std::vector<std::string> arguments;
    std::vector<std::string> servers; ///< Operator addresses of instances, in the order in which they are tried.
    OutputForm output = OutputForm::Text;
    Milliseconds timeout {20'000};
    std::optional<std::string> base; ///< Revision number, or "current".
    std::string author;
    std::string changeId; ///< Empty: draw one.
    Milliseconds drain {30'000};
    std::string workClass;
    std::string format;
};

/// Parses the words after the program's name. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<Invocation> parseCommandLine(const std::vector<std::string>& words);

} // namespace jasminespread
