#include "ctl/operator_tool.h"

#include "ctl/adjustment.h"

#include <jasminespread/run_operator_tool.h>
#include <jasminespread/sheet.h>

#include <boost/json.hpp>
#include <glib.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <ostream>
#include <set>
#include <sstream>

namespace jasminespread {
namespace {

constexpr const char* configurationTarget = "/v1/configuration";

/// Percent-encodes a path segment or the value of a query parameter.
std::string percentEncode(const std::string& text)
{
    char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string result = escaped;
    g_free(escaped);
    return result;
}

std::string generateChangeId()
{
    char* uuid = g_uuid_string_random();
    std::string result = uuid;
    g_free(uuid);
    return result;
}

/// Parses @p text as a JSON object. Returns nothing if it is not one.
std::optional<boost::json::object> parseObject(const std::string& text)
{
    boost::system::error_code ec;
    const boost::json::value value = boost::json::parse(text, ec);
    if (ec || !value.is_object()) {
        return std::nullopt;
    }
    return value.as_object();
}

/// Returns the value of a string field, or an empty string if there is no such field.
std::string stringField(const boost::json::object& object, std::string_view name)
{
    const boost::json::value* field = object.if_contains(name);
    return field != nullptr && field->is_string() ? std::string(field->as_string()) : std::string();
}

std::uint64_t numberField(const boost::json::object& object, std::string_view name)
{
    const boost::json::value* field = object.if_contains(name);
    boost::system::error_code ec;
    const std::uint64_t number = field != nullptr ? field->to_number<std::uint64_t>(ec) : 0;
    return ec ? 0 : number;
}

std::vector<std::string> stringListField(const boost::json::object& object, std::string_view name)
{
    std::vector<std::string> texts;
    const boost::json::value* field = object.if_contains(name);
    if (field != nullptr && field->is_array()) {
        for (const boost::json::value& item : field->as_array()) {
            texts.push_back(item.is_string() ? std::string(item.as_string()) : boost::json::serialize(item));
        }
    }
    return texts;
}

std::string joinOrNone(const std::vector<std::string>& texts)
{
    std::string result;
    for (const std::string& text : texts) {
        result += (result.empty() ? "" : ", ") + text;
    }
    return result.empty() ? "none" : result;
}

boost::json::array toJsonArray(const std::vector<std::string>& texts)
{
    boost::json::array array;
    for (const std::string& text : texts) {
        array.emplace_back(text);
    }
    return array;
}

/// Prints the content of a JSON object or array as indented "name: value" or "- value" lines.
void printIndented(std::ostream& out, const boost::json::value& value, const std::string& indent)
{
    const auto printItem = [&](const std::string& label, const boost::json::value& item) {
        const bool isNested
            = item.is_structured() && !(item.is_array() ? item.as_array().empty() : item.as_object().empty());
        out << indent << label;
        if (isNested) {
            out << "\n";
            printIndented(out, item, indent + "  ");
        } else {
            out << " " << (item.is_string() ? std::string(item.as_string()) : boost::json::serialize(item)) << "\n";
        }
    };
    if (value.is_object()) {
        for (const boost::json::key_value_pair& field : value.as_object()) {
            printItem(std::string(field.key()) + ":", field.value());
        }
    } else if (value.is_array()) {
        for (const boost::json::value& item : value.as_array()) {
            printItem("-", item);
        }
    }
}

ExitCode exitCodeOfStatus(unsigned status)
{
    switch (status) {
    case 200:
        return ExitCode::Accepted;
    case 202:
        return ExitCode::StoredNotConfirmed;
    case 400:
    case 404:
        return ExitCode::InvalidInput;
    case 409:
        return ExitCode::Conflict;
    case 503:
        return ExitCode::Unavailable;
    default:
        return ExitCode::UnknownOutcome;
    }
}

} // namespace

OperatorTool::OperatorTool(OperatorCaller caller, std::ostream& out, std::ostream& errors)
    : m_caller(std::move(caller))
    , m_out(out)
    , m_errors(errors)
{
}

ExitCode OperatorTool::run(const Invocation& invocation)
{
    m_invocation = invocation;
    switch (invocation.command) {
    case Command::Validate:
        return validate();
    case Command::Diff:
        return diff();
    case Command::Load:
        return load();
    case Command::Show:
        return show();
    case Command::Status:
        return printResource("/v1/status", true);
    case Command::Report:
        return report();
    case Command::DeclareGone:
        return declareGoneOrLost("/v1/servers/" + percentEncode(invocation.arguments[0]) + "/gone");
    case Command::DeclareLost:
        return declareGoneOrLost("/v1/instances/" + percentEncode(invocation.arguments[0]) + "/lost");
    default:
        return adjust();
    }
}

ExitCode OperatorTool::validate()
{
    if (!readSheet(m_invocation.arguments[0])) {
        return ExitCode::InvalidInput;
    }
    m_out << (m_invocation.outputFormat == OutputFormat::Json ? "{\"result\":\"valid\"}" : "valid") << "\n";
    return ExitCode::Accepted;
}

ExitCode OperatorTool::diff()
{
    const std::optional<Configuration> first = readSheet(m_invocation.arguments[0]);
    if (!first) {
        return ExitCode::InvalidInput;
    }
    if (m_invocation.arguments.size() == 2) {
        const std::optional<Configuration> second = readSheet(m_invocation.arguments[1]);
        if (!second) {
            return ExitCode::InvalidInput;
        }
        printDifferences(diffConfigurations(*first, *second));
        return ExitCode::Accepted;
    }
    ExitCode code {};
    const std::optional<CurrentConfiguration> current = fetchCurrent(code);
    if (!current) {
        return code;
    }
    printDifferences(diffConfigurations(current->configuration, *first));
    return ExitCode::Accepted;
}

ExitCode OperatorTool::load()
{
    std::optional<Configuration> configuration = readSheet(m_invocation.arguments[0]);
    if (!configuration) {
        return ExitCode::InvalidInput;
    }
    std::uint64_t base = 0;
    if (m_invocation.baseRevision == "current") {
        ExitCode code {};
        const std::optional<CurrentConfiguration> current = fetchCurrent(code);
        if (!current) {
            return code;
        }
        base = current->revision;
    } else {
        const std::string& text = *m_invocation.baseRevision;
        const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), base);
        if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
            return reportErrors(ExitCode::InvalidInput, "invalid",
                {"option --base has the value \"" + text + "\", which is neither a revision nor \"current\""});
        }
    }
    configuration->author = m_invocation.author;
    return submitChange(*configuration, base, m_invocation.changeId);
}

ExitCode OperatorTool::show()
{
    if (m_invocation.outputFormat == OutputFormat::Json) {
        return printResource(configurationTarget, true);
    }
    ExitCode code {};
    const std::optional<CurrentConfiguration> current = fetchCurrent(code);
    if (!current) {
        return code;
    }
    if (current->revision == 0) {
        m_out << "# revision 0: no configuration has been loaded\n";
    } else {
        m_out << "# revision " << current->revision << ", change " << current->configuration.changeId << "\n"
              << writeSheet(current->configuration);
    }
    return ExitCode::Accepted;
}

ExitCode OperatorTool::adjust()
{
    ExitCode code {};
    const std::optional<CurrentConfiguration> current = fetchCurrent(code);
    if (!current) {
        return code;
    }
    if (current->revision == 0) {
        return reportErrors(
            ExitCode::InvalidInput, "invalid", {"no configuration has been loaded; load a sheet before adjusting it"});
    }
    if (!m_invocation.changeId.empty() && current->configuration.changeId == m_invocation.changeId) {
        // The earlier attempt took effect. Sending the same change again confirms it without applying it twice.
        return submitChange(current->configuration, current->revision - 1, m_invocation.changeId);
    }
    std::string message;
    Configuration adjusted = handleError([&] { return adjustConfiguration(current->configuration, m_invocation); },
        [&](const Error& error) {
            message = describe(error);
            return Configuration();
        });
    if (!message.empty()) {
        return reportErrors(ExitCode::InvalidInput, "invalid", {message});
    }
    const std::vector<std::string> differences = diffConfigurations(current->configuration, adjusted);
    if (differences.empty()) {
        m_out << (m_invocation.outputFormat == OutputFormat::Json
                ? "{\"result\":\"unchanged\"}"
                : "unchanged: the configuration in force says this already")
              << "\n";
        return ExitCode::Accepted;
    }
    if (m_invocation.outputFormat == OutputFormat::Text) {
        printDifferences(differences);
    }
    adjusted.author = m_invocation.author;
    return submitChange(adjusted, current->revision, m_invocation.changeId);
}

ExitCode OperatorTool::declareGoneOrLost(const std::string& target)
{
    const OperatorReply reply = callFirstReachable("POST", target, "{}");
    if (reply.progress != CallProgress::Answered || reply.status != 200) {
        return reportFailure(reply, true);
    }
    if (m_invocation.outputFormat == OutputFormat::Json) {
        m_out << (parseObject(reply.body) ? reply.body : "{\"result\":\"accepted\"}") << "\n";
    } else {
        m_out << "accepted\n";
    }
    return ExitCode::Accepted;
}

ExitCode OperatorTool::printResource(const std::string& target, bool isJson)
{
    const OperatorReply reply = callFirstReachable("GET", target, "");
    if (reply.progress != CallProgress::Answered || reply.status != 200) {
        return reportFailure(reply, false);
    }
    const std::optional<boost::json::object> body = isJson ? parseObject(reply.body) : std::nullopt;
    if (body && m_invocation.outputFormat == OutputFormat::Text) {
        printIndented(m_out, *body, "");
    } else {
        m_out << reply.body << (reply.body.ends_with('\n') ? "" : "\n");
    }
    return ExitCode::Accepted;
}

ExitCode OperatorTool::report()
{
    if (m_invocation.operatorAddresses.size() == 1) {
        return printResource("/v1/report?format=" + m_invocation.reportFormat, false);
    }
    std::vector<BurnReport> reports;
    std::set<std::string> instances;
    std::vector<std::string> failures;
    for (const std::string& operatorAddress : m_invocation.operatorAddresses) {
        std::string failure;
        const std::optional<BurnReport> fetchedReport = fetchReport(operatorAddress, failure);
        if (!fetchedReport) {
            failure.insert(0, "no report from " + operatorAddress + ": ");
            failures.push_back(std::move(failure));
            continue;
        }
        // Count the requests of an instance only once, even if it is given twice.
        const bool isDuplicate = std::any_of(fetchedReport->instances.begin(), fetchedReport->instances.end(),
            [&](const std::string& instance) { return instances.contains(instance); });
        if (!isDuplicate) {
            instances.insert(fetchedReport->instances.begin(), fetchedReport->instances.end());
            reports.push_back(*fetchedReport);
        }
    }
    if (reports.empty()) {
        return reportErrors(ExitCode::Unavailable, "unavailable", failures);
    }
    for (const std::string& failure : failures) {
        m_errors << "incomplete: " << failure << "\n";
    }
    const BurnReport merged = mergeBurnReports(reports);
    const std::string text = m_invocation.reportFormat == "html" ? renderBurnHtml(merged)
        : m_invocation.reportFormat == "json"                    ? encodeBurnReport(merged)
                                                                 : renderBurnText(merged);
    m_out << text << (text.ends_with('\n') ? "" : "\n");
    return ExitCode::Accepted;
}

std::optional<BurnReport> OperatorTool::fetchReport(const std::string& operatorAddress, std::string& failure)
{
    const OperatorReply reply = m_caller({operatorAddress, "GET", "/v1/report?format=json", ""});
    if (reply.progress != CallProgress::Answered) {
        failure = reply.failure;
        return std::nullopt;
    }
    if (reply.status != 200) {
        failure = "status " + std::to_string(reply.status);
        return std::nullopt;
    }
    return handleError(
        [&]() -> Result<std::optional<BurnReport>> {
            BOOST_LEAF_AUTO(report, decodeBurnReport(reply.body));
            return std::optional<BurnReport>(std::move(report));
        },
        [&](const Error& error) {
            failure = describe(error);
            return std::optional<BurnReport>();
        });
}

OperatorReply OperatorTool::callFirstReachable(
    const std::string& method, const std::string& target, const std::string& body)
{
    OperatorReply reply;
    std::string failures;
    for (const std::string& operatorAddress : m_invocation.operatorAddresses) {
        reply = m_caller({operatorAddress, method, target, body});
        if (reply.progress != CallProgress::NotConnected) {
            return reply;
        }
        failures += (failures.empty() ? "" : "; ") + operatorAddress + ": " + reply.failure;
    }
    reply.failure = failures;
    return reply;
}

std::optional<Configuration> OperatorTool::readSheet(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        (void)reportErrors(ExitCode::InvalidInput, "invalid",
            {"cannot read \"" + path + "\": " + std::strerror(errno) + "; check the path and its permissions"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const SheetResult result = parseSheet(text.str(), path);
    if (!result.configuration) {
        std::vector<std::string> messages;
        for (const Error& error : result.errors) {
            messages.push_back(describe(error));
        }
        (void)reportErrors(ExitCode::InvalidInput, "invalid", messages);
    }
    return result.configuration;
}

std::optional<OperatorTool::CurrentConfiguration> OperatorTool::fetchCurrent(ExitCode& code)
{
    const OperatorReply reply = callFirstReachable("GET", configurationTarget, "");
    const std::optional<boost::json::object> body = parseObject(reply.body);
    if (reply.status != 200 || !body || !body->contains("configuration")) {
        code = reportFailure(reply, false);
        return std::nullopt;
    }
    const boost::json::value& configuration = body->at("configuration");
    if (configuration.is_null()) {
        return CurrentConfiguration();
    }
    std::string message;
    CurrentConfiguration current {numberField(*body, "revision"),
        handleError([&] { return decodeConfiguration(boost::json::serialize(configuration)); },
            [&](const Error& error) {
                message = describe(error);
                return Configuration();
            })};
    if (!message.empty()) {
        code = reportErrors(ExitCode::InternalError, "internal",
            {"cannot decode the configuration of the instance: " + message
                + "; use jasminespreadctl of the same version as the instance"});
        return std::nullopt;
    }
    return current;
}

ExitCode OperatorTool::submitChange(const Configuration& configuration, std::uint64_t base, const std::string& changeId)
{
    m_changeId = changeId.empty() ? generateChangeId() : changeId;
    const std::string query = "?base=" + std::to_string(base) + "&change=" + percentEncode(m_changeId);
    return reportChangeResult(
        callFirstReachable("PUT", configurationTarget + query, encodeConfiguration(configuration)));
}

ExitCode OperatorTool::reportChangeResult(const OperatorReply& reply)
{
    std::optional<boost::json::object> body = parseObject(reply.body);
    const bool hasResult = reply.progress == CallProgress::Answered && body && !stringField(*body, "result").empty();
    ExitCode code = exitCodeOfStatus(reply.status);
    if (hasResult && m_invocation.outputFormat == OutputFormat::Json) {
        body->emplace("change", m_changeId);
        m_out << boost::json::serialize(*body) << "\n";
    } else if (hasResult && code == ExitCode::Accepted) {
        printConfirmation(*body, m_out);
    } else if (hasResult && code == ExitCode::StoredNotConfirmed) {
        printConfirmation(*body, m_errors);
    } else if (hasResult && code == ExitCode::Conflict) {
        printConflict(*body);
    } else {
        code = reportFailure(reply, true);
    }
    if (code == ExitCode::UnknownOutcome && m_invocation.outputFormat == OutputFormat::Text) {
        m_errors << "To learn the outcome, repeat the command with: --change " << m_changeId << "\n";
    }
    return code;
}

void OperatorTool::printConfirmation(const boost::json::object& body, std::ostream& out)
{
    out << stringField(body, "result") << ": revision " << numberField(body, "revision") << "\n";
    const boost::json::value* regions = body.if_contains("regions");
    if (regions == nullptr || !regions->is_object()) {
        return;
    }
    for (const boost::json::key_value_pair& region : regions->as_object()) {
        if (region.value().is_object()) {
            const boost::json::object& instances = region.value().as_object();
            out << "  " << region.key() << ": confirmed by " << joinOrNone(stringListField(instances, "confirmed"))
                << "; missing: " << joinOrNone(stringListField(instances, "missing")) << "\n";
        }
    }
}

void OperatorTool::printConflict(const boost::json::object& body)
{
    m_errors << "conflict: revision " << numberField(body, "revision") << " by " << stringField(body, "author")
             << " is in force; this command changed nothing\n"
             << (stringField(body, "compared") == "base-to-current"
                        ? "Changes since the revision on which this change is based:\n"
                        : "Differences from the revision in force to this change:\n");
    for (const std::string& difference : stringListField(body, "differences")) {
        m_errors << "  " << difference << "\n";
    }
    if (!m_invocation.changeId.empty()) {
        m_errors << "An earlier attempt with this change id may have taken effect before that revision.\n";
    }
}

ExitCode OperatorTool::reportFailure(const OperatorReply& reply, bool isChange)
{
    if (reply.progress == CallProgress::NotConnected) {
        return reportErrors(ExitCode::Unavailable, "unavailable",
            {"could not connect to any instance (" + reply.failure + "); nothing was changed, try other instances"});
    }
    if (reply.progress == CallProgress::AnswerLost) {
        return isChange ? reportErrors(ExitCode::UnknownOutcome, "unknown",
                   {"the instance's answer was lost (" + reply.failure + "); the change may have taken effect"})
                        : reportErrors(ExitCode::Unavailable, "unavailable",
                            {"the instance's answer was lost (" + reply.failure + "); try again"});
    }
    const std::optional<boost::json::object> body = parseObject(reply.body);
    std::vector<std::string> messages = body ? stringListField(*body, "errors") : std::vector<std::string>();
    if (messages.empty()) {
        const std::string message = body ? stringField(*body, "message") : reply.body;
        messages.push_back("status " + std::to_string(reply.status) + (message.empty() ? "" : ": " + message));
    }
    ExitCode code = exitCodeOfStatus(reply.status);
    const std::string result = body ? stringField(*body, "result") : "";
    // Without a result the answer may be that of another program, e.g. of a proxy that had passed the change on.
    const bool unconfirmed = result.empty() && (code == ExitCode::Conflict || code == ExitCode::Unavailable);
    if (code == ExitCode::Accepted || code == ExitCode::StoredNotConfirmed || unconfirmed) {
        // The status indicates a result, but the body does not contain it.
        code = ExitCode::UnknownOutcome;
    }
    if (code == ExitCode::UnknownOutcome && !isChange) {
        code = ExitCode::Unavailable;
    }
    return reportErrors(code, result.empty() ? "failed" : result, messages);
}

ExitCode OperatorTool::reportErrors(ExitCode code, const std::string& result, const std::vector<std::string>& messages)
{
    if (m_invocation.outputFormat == OutputFormat::Json) {
        boost::json::object body {{"result", result}, {"errors", toJsonArray(messages)}};
        if (!m_changeId.empty()) {
            body["change"] = m_changeId;
        }
        m_out << boost::json::serialize(body) << "\n";
        return code;
    }
    for (const std::string& message : messages) {
        m_errors << result << ": " << message << "\n";
    }
    return code;
}

void OperatorTool::printDifferences(const std::vector<std::string>& differences)
{
    if (m_invocation.outputFormat == OutputFormat::Json) {
        m_out << boost::json::serialize(boost::json::object {{"differences", toJsonArray(differences)}}) << "\n";
        return;
    }
    if (differences.empty()) {
        m_out << "no differences\n";
    }
    for (const std::string& difference : differences) {
        m_out << difference << "\n";
    }
}

int runOperatorTool(const std::vector<std::string>& commandLine,
    const std::function<OperatorCaller(Milliseconds timeout)>& makeCaller, std::ostream& out, std::ostream& errors)
{
    std::string message;
    const Invocation invocation = handleError([&] { return parseCommandLine(commandLine); },
        [&](const Error& error) {
            message = describe(error);
            return Invocation();
        });
    if (!message.empty()) {
        errors << "jasminespreadctl: " << message << "\n";
        return static_cast<int>(ExitCode::InvalidInput);
    }
    if (invocation.helpText) {
        out << *invocation.helpText;
        return static_cast<int>(ExitCode::Accepted);
    }
    OperatorTool tool(makeCaller(invocation.timeout), out, errors);
    return static_cast<int>(tool.run(invocation));
}

int runOperatorTool(const std::vector<std::string>& commandLine, std::ostream& out, std::ostream& errors)
{
    return runOperatorTool(commandLine, makeHttpOperatorCaller, out, errors);
}

} // namespace jasminespread
