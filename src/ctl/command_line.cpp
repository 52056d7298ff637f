#include "ctl/command_line.h"

#include "settings/text_values.h"

#include <glib.h>

#include <boost/program_options.hpp>

#include <sstream>

namespace jasminespread {
namespace {

namespace po = boost::program_options;

/// @name Option groups besides --help and --output
/// Bits of CommandInfo::options.
/// @{
constexpr unsigned serverOptions = 1;
constexpr unsigned changeOptions = 2;
constexpr unsigned baseOption = 4;
constexpr unsigned drainOption = 8;
constexpr unsigned classOption = 16;
constexpr unsigned formatOption = 32;
/// @}

struct CommandInfo {
    Command command;
    const char* arguments;
    std::size_t minArguments;
    std::size_t maxArguments;
    unsigned options;
    const char* summary;
};

constexpr std::array<CommandInfo, commandNames.size()> commandInfos {{
    {Command::Validate, "<sheet>", 1, 1, 0,
        "Check a configuration sheet and report every error. Contacts no instance."},
    {Command::Diff, "<sheet> [<newer sheet>]", 1, 2, serverOptions,
        "List the differences between the configuration in force and a sheet, or between two sheets."},
    {Command::Load, "<sheet>", 1, 1, serverOptions | changeOptions | baseOption,
        "Check a configuration sheet and replace the configuration in force with it."},
    {Command::Show, "", 0, 0, serverOptions, "Print the configuration in force as a configuration sheet."},
    {Command::Status, "", 0, 0, serverOptions, "Print the state of an instance, its peers, groups and servers."},
    {Command::HotKeyAdd, "<service> <key> [<server>]", 2, 3, serverOptions | changeOptions,
        "Give a key a dedicated partition, or change its preferred backend server."},
    {Command::HotKeyRemove, "<service> <key>", 2, 2, serverOptions | changeOptions,
        "Remove the dedicated partition of a hot key; its hash selects the partition again."},
    {Command::StopAdd, "<server> <time>", 2, 2, serverOptions | changeOptions | drainOption,
        "Plan or reschedule the stop of a backend server, for example at 2026-12-04T18:30:00Z."},
    {Command::StopRemove, "<server>", 1, 1, serverOptions | changeOptions,
        "Cancel the planned stop of a backend server."},
    {Command::RuleAdd, "<service> <load>", 2, 2, serverOptions | changeOptions | classOption,
        "Refuse requests above a load from 0 to 1, or change the load of an existing rule."},
    {Command::RuleRemove, "<service>", 1, 1, serverOptions | changeOptions | classOption, "Remove a refusal rule."},
    {Command::PoolAdd, "<server> <service> <region> <failure domain> <address>", 5, 5, serverOptions | changeOptions,
        "Add a backend server to the pool of a service."},
    {Command::PoolRemove, "<server>", 1, 1, serverOptions | changeOptions,
        "Remove a backend server, its planned stop, and hot keys' preference for it."},
    {Command::DeclareGone, "<server>", 1, 1, serverOptions,
        "Declare that a backend server's process has ended and cannot return."},
    {Command::DeclareLost, "<instance>", 1, 1, serverOptions,
        "Declare that an instance's process has ended and cannot return."},
    {Command::Report, "", 0, 0, serverOptions | formatOption, "Print the report on service-level objectives."},
}};

po::options_description describeOptions(unsigned groups)
{
    po::options_description options("Options", 100);
    options.add_options()("help", "print this help text")(
        "output", po::value<std::string>()->default_value("text"), "output format: text or json");
    if ((groups & serverOptions) != 0) {
        options.add_options()("server", po::value<std::vector<std::string>>(),
            "operator address (IP address and port) of an instance; can be repeated: the next instance is tried only "
            "if no connection could be made")(
            "timeout", po::value<std::string>()->default_value("20s"), "time limit of a request to an instance");
    }
    if ((groups & changeOptions) != 0) {
        options.add_options()(
            "author", po::value<std::string>(), "author recorded with the change; default: the current user")(
            "change", po::value<std::string>(), "change id of an earlier attempt whose outcome is unknown");
    }
    if ((groups & baseOption) != 0) {
        options.add_options()("base", po::value<std::string>(),
            "revision that the sheet is based on (0: the first sheet), or \"current\" to replace any revision");
    }
    if ((groups & drainOption) != 0) {
        options.add_options()(
            "drain", po::value<std::string>()->default_value("30s"), "how long before the stop the drain begins");
    }
    if ((groups & classOption) != 0) {
        options.add_options()("class", po::value<std::string>()->default_value(""), "work class; default: every class");
    }
    if ((groups & formatOption) != 0) {
        options.add_options()("format", po::value<std::string>(), "text, json or html; default: the value of --output");
    }
    return options;
}

std::string generalHelp()
{
    std::ostringstream text;
    text << "Usage: jasminespreadctl <command> [<arguments>] [<options>]\n\nCommands:\n";
    for (const CommandInfo& info : commandInfos) {
        text << "  " << enumName(commandNames, info.command) << " " << info.arguments << "\n      " << info.summary
             << "\n";
    }
    text << "\nRun a command with --help to see its options.\n"
            "Exit codes: 0 accepted, 1 internal error, 2 invalid input, 3 conflict, 4 stored but not confirmed, "
            "5 unavailable, 6 unknown outcome.\n";
    return text.str();
}

std::string commandHelp(const CommandInfo& info)
{
    std::ostringstream text;
    text << "Usage: jasminespreadctl " << enumName(commandNames, info.command) << " " << info.arguments
         << " [<options>]\n\n"
         << info.summary << "\n\n"
         << describeOptions(info.options);
    return text.str();
}

/// Returns the command that the first one or two words name, or null; sets @p wordCount to the number of these words.
/// Precondition: there is at least one word.
const CommandInfo* findCommand(const std::vector<std::string>& commandLine, std::size_t& wordCount)
{
    for (const CommandInfo& info : commandInfos) {
        const std::string name(enumName(commandNames, info.command));
        if (commandLine[0] == name) {
            wordCount = 1;
            return &info;
        }
        if (commandLine.size() > 1 && commandLine[0] + " " + commandLine[1] == name) {
            wordCount = 2;
            return &info;
        }
    }
    return nullptr;
}

Result<Milliseconds> parseDurationOption(const po::variables_map& values, const std::string& name)
{
    const std::string text = values[name].as<std::string>();
    const std::optional<Milliseconds> duration = parseDuration(text);
    if (!duration) {
        return fail(ErrorKind::InvalidInput,
            "option --" + name + " has the value \"" + text
                + "\", which is not a duration; use a number and a unit, for example 30s");
    }
    return *duration;
}

Result<Invocation> buildInvocation(const CommandInfo& info, const po::variables_map& values)
{
    Invocation invocation;
    invocation.command = info.command;
    if (values.count("help") != 0) {
        invocation.helpText = commandHelp(info);
        return invocation;
    }
    if (values.count("arguments") != 0) {
        invocation.arguments = values["arguments"].as<std::vector<std::string>>();
    }
    if (invocation.arguments.size() < info.minArguments || invocation.arguments.size() > info.maxArguments) {
        return fail(ErrorKind::InvalidInput,
            "wrong number of arguments (" + std::to_string(invocation.arguments.size())
                + "); usage: " + std::string(enumName(commandNames, info.command)) + " " + info.arguments);
    }
    const std::string output = values["output"].as<std::string>();
    const std::optional<OutputFormat> parsedFormat = enumValue(outputFormatNames, output);
    if (!parsedFormat) {
        return fail(ErrorKind::InvalidInput,
            "option --output has the value \"" + output + "\", which is not one of: text, json");
    }
    invocation.outputFormat = *parsedFormat;
    if ((info.options & serverOptions) != 0) {
        if (values.count("server") != 0) {
            invocation.operatorAddresses = values["server"].as<std::vector<std::string>>();
        }
        for (const std::string& address : invocation.operatorAddresses) {
            if (!isIpAddressAndPort(address)) {
                return fail(ErrorKind::InvalidInput,
                    "option --server has the value \"" + address
                        + "\", which is not an IP address and port, for example 127.0.0.1:8001");
            }
        }
        const bool needsServer = info.command != Command::Diff || invocation.arguments.size() == 1;
        if (needsServer && invocation.operatorAddresses.empty()) {
            return fail(
                ErrorKind::InvalidInput, "option --server is missing; give the operator address of an instance");
        }
        BOOST_LEAF_ASSIGN(invocation.timeout, parseDurationOption(values, "timeout"));
    }
    if ((info.options & changeOptions) != 0) {
        invocation.author = values.count("author") != 0 ? values["author"].as<std::string>() : g_get_user_name();
        invocation.changeId = values.count("change") != 0 ? values["change"].as<std::string>() : "";
    }
    if ((info.options & baseOption) != 0) {
        if (values.count("base") == 0) {
            return fail(ErrorKind::InvalidInput,
                "option --base is missing; give the revision that the sheet is based on, as printed by \"show\"");
        }
        invocation.baseRevision = values["base"].as<std::string>();
    }
    if ((info.options & drainOption) != 0) {
        BOOST_LEAF_ASSIGN(invocation.drainDuration, parseDurationOption(values, "drain"));
    }
    if ((info.options & classOption) != 0) {
        invocation.workClass = values["class"].as<std::string>();
    }
    if ((info.options & formatOption) != 0) {
        invocation.reportFormat = values.count("format") != 0 ? values["format"].as<std::string>() : output;
        if (invocation.reportFormat != "text" && invocation.reportFormat != "json"
            && invocation.reportFormat != "html") {
            return fail(ErrorKind::InvalidInput,
                "option --format has the value \"" + invocation.reportFormat
                    + "\", which is not one of: text, json, html");
        }
    }
    return invocation;
}

} // namespace

Result<Invocation> parseCommandLine(const std::vector<std::string>& commandLine)
{
    if (commandLine.empty() || commandLine[0] == "--help" || commandLine[0] == "help") {
        Invocation invocation;
        invocation.helpText = generalHelp();
        return invocation;
    }
    std::size_t wordCount = 0;
    const CommandInfo* info = findCommand(commandLine, wordCount);
    if (info == nullptr) {
        return fail(
            ErrorKind::InvalidInput, "\"" + commandLine[0] + "\" is not a command; see jasminespreadctl --help");
    }
    po::options_description options = describeOptions(info->options);
    options.add_options()("arguments", po::value<std::vector<std::string>>());
    po::positional_options_description positionalArguments;
    positionalArguments.add("arguments", -1);
    po::variables_map values;
    try {
        // Reject abbreviated options: adding an option with the same prefix would make them ambiguous.
        const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        const std::vector<std::string> remainingWords(
            commandLine.begin() + static_cast<std::ptrdiff_t>(wordCount), commandLine.end());
        po::store(
            po::command_line_parser(remainingWords).options(options).positional(positionalArguments).style(style).run(),
            values);
    } catch (const po::error& e) {
        return fail(ErrorKind::InvalidInput,
            std::string(e.what()) + "; see jasminespreadctl " + std::string(enumName(commandNames, info->command))
                + " --help");
    }
    return buildInvocation(*info, values);
}

} // namespace jasminespread
