#pragma once

#include "ctl/command_line.h"
#include "ctl/exit_code.h"
#include "ctl/operator_call.h"

#include <jasminespread/burn_report.h>
#include <jasminespread/configuration.h>

#include <boost/json/object.hpp>

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Implements the commands of jasminespreadctl on top of the operator API of instances. Not thread-safe.
class OperatorTool {
public:
    /// @param out receives results and, with JSON output, errors; @param errors receives error messages as text.
    /// Precondition: the streams outlive the tool.
    OperatorTool(OperatorCaller caller, std::ostream& out, std::ostream& errors);

    /// Runs one parsed command and returns the exit code of the process. Blocks.
    [[nodiscard]] ExitCode run(const Invocation& invocation);

private:
    /// Configuration in force, as an instance reports it.
    struct CurrentConfiguration {
        std::uint64_t revision = 0;
        Configuration configuration;
    };

    ExitCode validate();
    ExitCode diff();
    ExitCode load();
    ExitCode show();
    ExitCode adjust();
    ExitCode declareGoneOrLost(const std::string& target);
    /// Fetches @p target and prints the body; a JSON body is indented for text output.
    ExitCode printResource(const std::string& target, bool isJson);
    /// Prints the burn report of one instance, or the merged report of several.
    ExitCode report();
    /// Fetches the burn report of one instance. On failure, returns nothing and sets @p failure to the reason.
    [[nodiscard]] std::optional<BurnReport> fetchReport(const std::string& operatorAddress, std::string& failure);

    /// Sends a request to the first instance to which a connection can be established.
    [[nodiscard]] OperatorReply callFirstReachable(
        const std::string& method, const std::string& target, const std::string& body);
    /// Reads and validates a configuration sheet. On failure, prints the errors and returns nothing.
    [[nodiscard]] std::optional<Configuration> readSheet(const std::string& path);
    /// Fetches the configuration in force. On failure, prints the errors, sets @p code and returns nothing.
    [[nodiscard]] std::optional<CurrentConfiguration> fetchCurrent(ExitCode& code);
    ExitCode submitChange(const Configuration& configuration, std::uint64_t base, const std::string& changeId);
    ExitCode reportChangeResult(const OperatorReply& reply);
    void printConfirmation(const boost::json::object& body, std::ostream& out);
    void printConflict(const boost::json::object& body);
    /// Prints why a call has no usable answer. With @p isChange the instance may have executed the call without an
    /// answer, so the outcome can be unknown.
    ExitCode reportFailure(const OperatorReply& reply, bool isChange);
    ExitCode reportErrors(ExitCode code, const std::string& result, const std::vector<std::string>& messages);
    void printDifferences(const std::vector<std::string>& differences);

    OperatorCaller m_caller;
    std::ostream& m_out;
    std::ostream& m_errors;
    Invocation m_invocation; ///< The command being run.
    std::string m_changeId; ///< Id of the change that was sent; empty before one is sent.
};

/// Like the public overload, but sends requests through the caller that @p makeCaller returns; used by tests.
[[nodiscard]] int runOperatorTool(const std::vector<std::string>& commandLine,
    const std::function<OperatorCaller(Milliseconds timeout)>& makeCaller, std::ostream& out, std::ostream& errors);

} // namespace jasminespread
