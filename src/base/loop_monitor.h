#pragma once

#include <jasminespread/time.h>

#include <glib.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Measures the turns of a thread's main loop: from the return of one poll to the start of the next one. While a turn
/// lasts no input is read. Not thread-safe; one monitor a thread at a time.
class LoopMonitor {
public:
    /// Called at the end of a turn of at least the reported length, with the time spent in each step.
    using Report = std::function<void(Milliseconds turn, const std::string& steps)>;

    /// Precondition: the calling thread runs @p context (nullptr: the default one), and no other monitor watches it.
    LoopMonitor(GMainContext* context, Milliseconds reportedTurn, Report report);
    ~LoopMonitor();
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    /// What is read in this turn arrived after this time.
    [[nodiscard]] MonotonicTime inputArrivedAfter() const noexcept { return m_inputArrivedAfter; }

    /// Charges the time of its life to a named step of the turn; a step within another one is charged to the outer one.
    class Step {
    public:
        /// Precondition: @p name outlives the turn.
        Step(LoopMonitor& monitor, std::string_view name);
        ~Step();
        Step(const Step&) = delete;
        Step& operator=(const Step&) = delete;

    private:
        LoopMonitor& m_monitor;
        std::string_view m_name;
        MonotonicTime m_startedAt;
        bool m_outermost;
    };

private:
    struct Charge {
        std::string_view name;
        unsigned count = 0;
        MonotonicTime::duration time {0};
    };

    static gint poll(GPollFD* descriptors, guint count, gint timeout);
    void endTurn(MonotonicTime now);

    GMainContext* m_context;
    Milliseconds m_reportedTurn;
    Report m_report;
    MonotonicTime m_turnAt; ///< When the last poll returned.
    MonotonicTime m_inputArrivedAfter;
    std::vector<Charge> m_charges;
    bool m_inStep = false;
};

} // namespace jasminespread
