#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminespread::test {

/// A process started by a test. Its end is the end of the process.
class Process {
public:
    /// Starts @p arguments[0]; standard output and error go to @p logFile.
    Process(const std::vector<std::string>& arguments, const std::string& logFile);
    /// Kills the process if it still runs.
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Tells whether the process has not ended.
    [[nodiscard]] bool running();

private:
    pid_t m_pid = -1;
};

} // namespace jasminespread::test
