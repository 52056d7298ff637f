#pragma once

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jasminespread::test {

/// A child process started by a test. It is killed when this object is destroyed.
class Process {
public:
    /// Starts @p arguments[0] with further environment variables; standard output and error go to @p logFile.
    Process(const std::vector<std::string>& arguments, const std::string& logFile,
        const std::map<std::string, std::string>& environment = {});
    /// Kills the process if it is still running.
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const;
    [[nodiscard]] pid_t id() const { return m_pid; }
    /// Kills the process and waits until it has ended.
    void kill();
    /// Returns whether the process is still running.
    [[nodiscard]] bool running();

private:
    pid_t m_pid = -1;
};

} // namespace jasminespread::test
