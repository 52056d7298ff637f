#include "ctl/command_line.h"

#include "settings/text_values.h"

#include <glib.h>

#include <boost/program_options.hpp>

#include <sstream>

namespace jasminespread {
namespace {

namespace po = boost::program_options;

/// @name Groups of options beyond --help and --output
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
    {Command::Validate, "<sheet>", 1, 1, 0, "Check a sheet and report every error. Contacts no instance."},
    {Command::Diff, "<sheet> [<newer sheet>]", 1, 2, serverOptions,
        "List the differences from the configuration in force to a sheet, or between two sheets."},
    {Command::Load, "<sheet>", 1, 1, serverOptions | changeOptions | baseOption,
        "Check a sheet and replace the configuration by it."},
    {Command::Show, "", 0, 0, serverOptions, "Print the configuration in force as a sheet."},
    {Command::Status, "", 0, 0, serverOptions, "Print the state of an instance, its peers, groups and servers."},
    {Command::HotKeyAdd, "<service> <key> [<server>]", 2, 3, serverOptions | changeOptions,
        "Give a key a partition of its own, or change its preferred server."},
    {Command::HotKeyRemove, "<service> <key>", 2, 2, serverOptions | changeOptions,
        "Return a hot key to the partition of its hash."},
    {Command::StopAdd, "<server> <time>", 2, 2, serverOptions | changeOptions | drainOption,
        "Plan or change the stop of a backend server, for example at 2026-12-04T18:30:00Z."},
    {Command::StopRemove, "<server>", 1, 1, serverOptions | changeOptions, "Cancel the planned stop of a server."},
    {Command::RuleAdd, "<service> <load>", 2, 2, serverOptions | changeOptions | classOption,
        "Refuse work above a load from 0 to 1, or change the load of a rule."},
    {Command::RuleRemove, "<service>", 1, 1, serverOptions | changeOptions | classOption, "Remove a refusal rule."},
    {Command::PoolAdd, "<server> <service> <region> <failure domain> <address>", 5, 5, serverOptions | changeOptions,
        "Add a backend server to the pool of a service."},
    {Command::PoolRemove, "<server>", 1, 1, serverOptions | changeOptions,
        "Remove a backend server, its planned stop and the preferences of hot keys for it."},
    {Command::DeclareGone, "<server>", 1, 1, serverOptions,
        "Declare that a backend server's process has ended and cannot return."},
    {Command::DeclareLost, "<instance>", 1, 1, serverOptions,
        "Declare that an instance's process has ended and cannot return."},
    {Command::Report, "", 0, 0, serverOptions | formatOption, "Print the report on service-level objectives."},
}};

po::options_description optionsOf(unsigned groups)
{
    po::options_description options("Options", 100);
    options.add_options()("help", "print this text")(
        "output", po::value<std::string>()->default_value("text"), "form of the output: text or json");
    if ((groups & serverOptions) != 0) {
        options.add_options()("server", po::value<std::vector<std::string>>(),
            "operator address (IP number and port) of an instance; may repeat: the next one is tried only if no "
            "connection could be made")(
            "timeout", po::value<std::string>()->default_value("20s"), "longest wait for an instance");
    }
    if ((groups & changeOptions) != 0) {
        options.add_options()("author", po::value<std::string>(), "name recorded with the change; default: the user")(
            "change", po::value<std::string>(), "change id of an earlier attempt whose outcome is unknown");
    }
    if ((groups & baseOption) != 0) {
        options.add_options()("base", po::value<std::string>(),
            "revision that the sheet was made from (0: the first sheet), or \"current\" to replace any revision");
    }
    if ((groups & drainOption) != 0) {
        options.add_options()(
            "drain", po::value<std::string>()->default_value("30s"), "start of the drain before the stop");
    }
    if ((groups & classOption) != 0) {
        options.add_options()(
            "class", po::value<std::string>()->default_value(""), "class of work; default: every class");
    }
    if ((groups & formatOption) != 0) {
        options.add_options()("format", po::value<std::string>(), "text, json or html; default: as --output");
    }
    return options;
}

std::string overallHelp()
{
    std::ostringstream text;
    text << "Usage: jasminespreadctl <command> [<arguments>] [<options>]\n\nCommands:\n";
    for (const CommandInfo& info : commandInfos) {
        text << "  " << enumName(commandNames, info.command) << " " << info.arguments << "\n      " << info.summary
             << "\n";
    }
    text << "\nEach command explains its options with --help.\n"
            "Exit codes: 0 accepted, 1 internal error, 2 invalid input, 3 conflict, 4 stored but not confirmed, "
            "5 unavailable, 6 unknown outcome.\n";
    return text.str();
}

std::string helpOf(const CommandInfo& info)
{
    std::ostringstream text;
    text << "Usage: jasminespreadctl " << enumName(commandNames, info.command) << " " << info.arguments
         << " [<options>]\n\n"
         << info.summary << "\n\n"
         << optionsOf(info.options);
    return text.str();
}

/// Finds the command whose name is the first one or two words; sets @p length to the number of its words.
const CommandInfo* findCommand(const std::vector<std::string>& words, std::size_t& length)
{
    for (const CommandInfo& info : commandInfos) {
        const std::string name(enumName(commandNames, info.command));
        if (words[0] == name) {
            length = 1;
            return &info;
        }
        if (words.size() > 1 && words[0] + " " + words[1] == name) {
            length = 2;
            return &info;
        }
    }
    return nullptr;
}

Result<Milliseconds> durationOption(const po::variables_map& values, const std::string& name)
{
    const std::string text = values[name].as<std::string>();
    const std::optional<Milliseconds> duration = parseDuration(text);
    if (!duration) {
        return fail(ErrorKind::InvalidInput,
            "option --" + name + " has the value \"" + text + "\", which is not a duration; write it as 30s");
    }
    return *duration;
}

Result<Invocation> readOptions(const CommandInfo& info, const po::variables_map& values)
{
    Invocation invocation;
    invocation.command = info.command;
    if (values.count("help") != 0) {
        invocation.help = helpOf(info);
        return invocation;
    }
    if (values.count("arguments") != 0) {
        invocation.arguments = values["arguments"].as<std::vector<std::string>>();
    }
    if (invocation.arguments.size() < info.minArguments || invocation.arguments.size() > info.maxArguments) {
        return fail(ErrorKind::InvalidInput,
            "wrong number of arguments (" + std::to_string(invocation.arguments.size())
                + "); write: " + std::string(enumName(commandNames, info.command)) + " " + info.arguments);
    }
    const std::string output = values["output"].as<std::string>();
    const std::optional<OutputForm> form = enumValue(outputFormNames, output);
    if (!form) {
        return fail(ErrorKind::InvalidInput,
            "option --output has the value \"" + output + "\", which is not one of: text, json");
    }
    invocation.output = *form;
    if ((info.options & serverOptions) != 0) {
        if (values.count("server") != 0) {
            invocation.servers = values["server"].as<std::vector<std::string>>();
        }
        for (const std::string& server : invocation.servers) {
            if (!isIpAddressAndPort(server)) {
                return fail(ErrorKind::InvalidInput,
                    "option --server has the value \"" + server
                        + "\", which is not an IP number and port; write it as 127.0.0.1:8001");
            }
        }
        const bool needsServer = info.command != Command::Diff || invocation.arguments.size() == 1;
        if (needsServer && invocation.servers.empty()) {
            return fail(ErrorKind::InvalidInput, "no instance is given; add --server with the operator address of one");
        }
        BOOST_LEAF_ASSIGN(invocation.timeout, durationOption(values, "timeout"));
    }
    if ((info.options & changeOptions) != 0) {
        invocation.author = values.count("author") != 0 ? values["author"].as<std::string>() : g_get_user_name();
        invocation.changeId = values.count("change") != 0 ? values["change"].as<std::string>() : "";
    }
    if ((info.options & baseOption) != 0) {
        if (values.count("base") == 0) {
            return fail(ErrorKind::InvalidInput,
                "option --base is missing; give the revision that the sheet was made from, as printed by show");
        }
        invocation.base = values["base"].as<std::string>();
    }
    if ((info.options & drainOption) != 0) {
        BOOST_LEAF_ASSIGN(invocation.drain, durationOption(values, "drain"));
    }
    if ((info.options & classOption) != 0) {
        invocation.workClass = values["class"].as<std::string>();
    }
    if ((info.options & formatOption) != 0) {
        invocation.format = values.count("format") != 0 ? values["format"].as<std::string>() : output;
        if (invocation.format != "text" && invocation.format != "json" && invocation.format != "html") {
            return fail(ErrorKind::InvalidInput,
                "option --format has the value \"" + invocation.format + "\", which is not one of: text, json, html");
        }
    }
    return invocation;
}

} // namespace

Result<Invocation> parseCommandLine(const std::vector<std::string>& words)
{
    if (words.empty() || words[0] == "--help" || words[0] == "help") {
        Invocation invocation;
        invocation.help = overallHelp();
        return invocation;
    }
    std::size_t length = 0;
    const CommandInfo* info = findCommand(words, length);
    if (info == nullptr) {
        return fail(ErrorKind::InvalidInput, "\"" + words[0] + "\" is not a command; see jasminespreadctl --help");
    }
    po::options_description options = optionsOf(info->options);
    options.add_options()("arguments", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("arguments", -1);
    po::variables_map values;
    try {
        // Abbreviated options would change their meaning when another option with the same start is added.
        const int style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        const std::vector<std::string> rest(words.begin() + static_cast<std::ptrdiff_t>(length), words.end());
        po::store(po::command_line_parser(rest).options(options).positional(positions).style(style).run(), values);
    } catch (const po::error& e) {
        return fail(ErrorKind::InvalidInput,
            std::string(e.what()) + "; see jasminespreadctl " + std::string(enumName(commandNames, info->command))
                + " --help");
    }
    return readOptions(*info, values);
}

} // namespace jasminespread
