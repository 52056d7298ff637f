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

enum class OutputFormat : std::uint8_t { Text, Json };

inline constexpr std::array<EnumName<OutputFormat>, 2> outputFormatNames {{
    {OutputFormat::Text, "text"},
    {OutputFormat::Json, "json"},
}};

/// A parsed command line of jasminespreadctl. Options that the command does not have keep their defaults.
struct Invocation {
    std::optional<std::string> helpText; ///< Help text to print instead of running the command.
    Command command = Command::Validate;
    std::vector<std::string> arguments;
    std::vector<std::string> operatorAddresses; ///< Of instances, in the order of connection attempts.
    OutputFormat outputFormat = OutputFormat::Text;
    Milliseconds timeout {20'000}; ///< Time limit of a request to an instance.
    std::optional<std::string> baseRevision; ///< Revision number or "current"; the load command only.
    std::string author;
    std::string changeId; ///< Empty: generate one.
    Milliseconds drainDuration {30'000}; ///< How long before a planned stop the drain begins.
    std::string workClass; ///< Empty: every class.
    std::string reportFormat; ///< Format of the report: text, json or html.
};

/// Parses the command line without the program's name. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<Invocation> parseCommandLine(const std::vector<std::string>& commandLine);

} // namespace jasminespread
