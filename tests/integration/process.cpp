#include "process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jasminespread::test {

Process::Process(const std::vector<std::string>& arguments, const std::string& logFile,
    const std::map<std::string, std::string>& environment)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid < 0) {
        throw std::runtime_error("cannot fork a process for " + arguments[0]);
    }
    if (m_pid == 0) {
        // Kills the process when the test is killed, for example by a timeout of ctest.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        for (const auto& [name, value] : environment) {
            ::setenv(name.c_str(), value.c_str(), 1);
        }
        ::execv(argv[0], argv.data());
        ::_exit(127);
    }
    ::close(log);
}

Process::~Process() { kill(); }

void Process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Process::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

bool Process::running()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

} // namespace jasminespread::test
