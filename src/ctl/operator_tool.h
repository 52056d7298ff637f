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

/// The operators' command line tool: runs one command against the instances given. Not thread-safe.
class OperatorTool {
public:
    /// @param out receives results, @param errors receives messages of failed commands in text form.
    /// Precondition: the streams outlive the tool.
    OperatorTool(OperatorCaller caller, std::ostream& out, std::ostream& errors);

    /// Runs one parsed command.
    [[nodiscard]] ExitCode run(const Invocation& invocation);

private:
    /// Configuration in force at an instance.
    struct Current {
        std::uint64_t revision = 0;
        Configuration configuration;
    };

    ExitCode validate();
    ExitCode diff();
    ExitCode load();
    ExitCode show();
    ExitCode adjust();
    ExitCode declare(const std::string& target);
    /// Gets a document and prints it.
    ExitCode print(const std::string& target, bool isJson);
    /// Prints the report of one instance, or the merged report of several.
    ExitCode report();
    /// Returns nothing and sets @p failure when the instance gives no report.
    [[nodiscard]] std::optional<BurnReport> fetchReport(const std::string& server, std::string& failure);

    /// Calls the first instance to which a connection can be made.
    [[nodiscard]] OperatorReply call(const std::string& method, const std::string& target, const std::string& body);
    /// Reads and checks a sheet; prints its errors and returns nothing when it has any.
    [[nodiscard]] std::optional<Configuration> readSheet(const std::string& path);
    /// Fetches the configuration in force; prints the failure and sets @p code when there is none.
    [[nodiscard]] std::optional<Current> fetchCurrent(ExitCode& code);
    ExitCode put(const Configuration& configuration, std::uint64_t base, const std::string& changeId);
    ExitCode reportChange(const OperatorReply& reply);
    void printConfirmation(const boost::json::object& body, std::ostream& out);
    void printConflict(const boost::json::object& body);
    /// Reports a call that brought no usable answer. @p isChange: the instance may have acted on it.
    ExitCode reportFailure(const OperatorReply& reply, bool isChange);
    ExitCode refuse(ExitCode code, const std::string& result, const std::vector<std::string>& messages);
    void printDifferences(const std::vector<std::string>& differences);

    OperatorCaller m_caller;
    std::ostream& m_out;
    std::ostream& m_errors;
    Invocation m_invocation; ///< The command that runs.
    std::string m_changeId; ///< Id of the change that was sent; empty before.
};

/// Parses the words after the program's name and runs the command with a caller of its own choice, for tests.
/// Returns the exit code of the process.
[[nodiscard]] int runOperatorTool(const std::vector<std::string>& commandLine,
    const std::function<OperatorCaller(Milliseconds timeout)>& makeCaller, std::ostream& out, std::ostream& errors);

} // namespace jasminespread
