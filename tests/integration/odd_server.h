#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <boost/json.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace jasminespread::test {

/// How a server handles a request. It runs the request unless the name says "refused" or "misdirected".
enum class AnswerForm : std::uint8_t {
    Served,
    Run503,
    Run429,
    Run408,
    Run500,
    RunReset,
    RunSilence,
    RunLate, ///< Runs after a delay.
    RunCutHead,
    RunCutBody,
    RunInterim503,
    RunLongTrailerValue, ///< Its answer has a trailer field that exceeds the limits.
    RunLongTrailerName,
    RunPartReset, ///< Its answer states no length, and is reset before its end.
    RunStatusZero,
    RunBlankInName, ///< The name of a field of its answer ends with a blank.
    Interim,
    Unsealed,
    ServedStatingNotRun,
    Refused503,
    Refused429,
    RefusedCut,
    RefusedCopyWithId, ///< A copy of the refusal comes later, mostly in front of the next answer.
    RefusedCopyWithoutId,
    Misdirected,
    MisdirectedStated
};

inline constexpr std::array<EnumName<AnswerForm>, 26> formNames {
    {{AnswerForm::Served, "served"}, {AnswerForm::Run503, "run-503"}, {AnswerForm::Run429, "run-429"},
        {AnswerForm::Run408, "run-408"}, {AnswerForm::Run500, "run-500"}, {AnswerForm::RunReset, "run-reset"},
        {AnswerForm::RunSilence, "run-silence"}, {AnswerForm::RunLate, "run-late"},
        {AnswerForm::RunCutHead, "run-cut-head"}, {AnswerForm::RunCutBody, "run-cut-body"},
        {AnswerForm::RunInterim503, "run-interim-503"}, {AnswerForm::RunLongTrailerValue, "run-long-trailer-value"},
        {AnswerForm::RunLongTrailerName, "run-long-trailer-name"}, {AnswerForm::RunPartReset, "run-part-reset"},
        {AnswerForm::RunStatusZero, "run-status-zero"}, {AnswerForm::RunBlankInName, "run-blank-in-name"},
        {AnswerForm::Interim, "interim"}, {AnswerForm::Unsealed, "unsealed"},
        {AnswerForm::ServedStatingNotRun, "served-stating-not-run"}, {AnswerForm::Refused503, "refused-503"},
        {AnswerForm::Refused429, "refused-429"}, {AnswerForm::RefusedCut, "refused-cut"},
        {AnswerForm::RefusedCopyWithId, "refused-copy-with-id"},
        {AnswerForm::RefusedCopyWithoutId, "refused-copy-without-id"}, {AnswerForm::Misdirected, "misdirected"},
        {AnswerForm::MisdirectedStated, "misdirected-stated"}}};

class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    unsigned below(unsigned end) { return static_cast<unsigned>(m_engine() % end); }
    Milliseconds between(unsigned first, unsigned end) { return Milliseconds(first + below(end - first)); }

private:
    std::mt19937_64 m_engine;
};

struct Message {
    std::string head;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const; ///< Empty when there is none.
    [[nodiscard]] unsigned status() const { return static_cast<unsigned>(std::stoul(head.substr(9, 3))); }
};

/// A TCP connection that carries HTTP messages. Blocks its thread.
class HttpConnection {
public:
    explicit HttpConnection(int fd);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    static std::unique_ptr<HttpConnection> connectTo(const std::string& address);
    [[nodiscard]] bool write(const std::string& text) const;
    /// Reads the next message other than an interim answer while @p wanted returns true.
    std::optional<Message> read(const std::function<bool()>& wanted);
    /// Makes the end of this object reset the connection.
    void reset() const;
    [[nodiscard]] bool ended() const { return m_ended; }
    [[nodiscard]] bool hasUnreadBytes() const { return !m_bytes.empty(); }

private:
    std::optional<Message> parse();

    int m_fd;
    bool m_ended = false;
    std::string m_bytes;
};

/// What callers sent and got, and what servers ran. Thread-safe.
class RequestLog {
public:
    struct Request {
        bool repeatable = false;
        std::string gateway;
        std::string end; ///< Status of the answer, or how the request ended without one.
        std::string problem; ///< What is wrong with the answer.
        std::vector<std::string> runs; ///< Server and form of each run.
        MonotonicTime firstRunAt;
    };

    void update(const std::string& id, const std::function<void(Request&)>& change);
    void run(const std::string& id, const std::string& server, AnswerForm form);
    /// Forgets the requests, prints their counts and returns the number of those that break a rule. A request whose id
    /// starts with "turn-" may be repeated when it was first run later than @p turnsRepeatable.
    std::size_t takeViolations(const std::string& title, MonotonicTime turnsRepeatable);

private:
    std::mutex m_mutex;
    std::map<std::string, Request> m_requests;
};

/// A server that answers in odd forms, on threads of its own. Its public functions belong to one thread.
class OddServer {
public:
    OddServer(std::string id, std::string service, std::string address, std::uint64_t seed, RequestLog& log);
    ~OddServer() { stop(); }
    OddServer(const OddServer&) = delete;
    OddServer& operator=(const OddServer&) = delete;

    void start();
    /// Ends as a process does: its connections close, and it begins no request any more.
    void stop();
    /// Ends, and starts again as a server of another service at the same address.
    void become(const std::string& id, const std::string& service);
    /// Answers half of the requests in @p form and serves the others. Before, it draws all forms.
    void setForm(AnswerForm form) { m_form = static_cast<int>(form); }
    /// Reads nothing for @p duration.
    void pause(Milliseconds duration) { m_pausedUntil = monotonicNow() + duration; }
    [[nodiscard]] boost::json::value storeEntry() const;
    [[nodiscard]] bool holds(unsigned key);
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& service() const { return m_service; }

private:
    struct Held {
        unsigned from = 0;
        unsigned to = 0;
        MonotonicTime until;
    };

    void accept();
    void serve(int fd, std::uint64_t seed);
    void sleep(Milliseconds duration) const;
    [[nodiscard]] bool isPaused() const { return monotonicNow() < m_pausedUntil.load(); }
    /// Returns whether the connection stays open.
    bool answer(const HttpConnection& connection, const Message& request, Random& random, std::string& lateCopy);
    bool answerInForm(AnswerForm form, const HttpConnection& connection, const Message& request, Random& random,
        std::string& lateCopy);
    std::string changeKeys(const Message& request);

    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::uint64_t m_seed;
    RequestLog& m_log;
    std::uint64_t m_born = 1789;
    int m_listener = -1;
    std::atomic<bool> m_isRunning = false;
    std::atomic<int> m_form = -1;
    std::atomic<MonotonicTime> m_pausedUntil = MonotonicTime();
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<Held> m_held; ///< Guarded by m_mutex.
};

} // namespace jasminespread::test
