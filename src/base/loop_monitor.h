#pragma once

#include <jasminespread/time.h>

#include <glib.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Measures the iterations of a thread's main loop, each from the return of one poll to the start of the next one. No
/// input is polled during an iteration. Not thread-safe; at most one monitor per thread at a time.
class LoopMonitor {
public:
    /// Called at the end of an iteration that reached the report threshold. @p steps lists the time spent in each step
    /// and how often it ran, as `name:milliseconds/count` separated by commas.
    using Report = std::function<void(Milliseconds iterationTime, const std::string& steps)>;

    /// Precondition: the calling thread runs @p context (nullptr: the default one), and no other monitor watches it.
    LoopMonitor(GMainContext* context, Milliseconds reportThreshold, Report report);
    ~LoopMonitor();
    LoopMonitor(const LoopMonitor&) = delete;
    LoopMonitor& operator=(const LoopMonitor&) = delete;

    /// Lower bound on the arrival time of the input that is read in this iteration.
    [[nodiscard]] MonotonicTime inputArrivedAfter() const noexcept { return m_inputArrivedAfter; }

    /// Adds the time from its construction to its destruction to a named step of the iteration. The time of a nested
    /// step counts for the outermost one.
    class Step {
    public:
        /// Precondition: @p name outlives the iteration.
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
    struct StepTotal {
        std::string_view name;
        unsigned count = 0;
        MonotonicTime::duration time {0};
    };

    static gint poll(GPollFD* descriptors, guint count, gint timeout);
    void endIteration(MonotonicTime now);

    GMainContext* m_context;
    Milliseconds m_reportThreshold;
    Report m_report;
    MonotonicTime m_iterationStart; ///< When the last poll returned.
    MonotonicTime m_inputArrivedAfter;
    std::vector<StepTotal> m_stepTotals;
    bool m_inStep = false;
};

} // namespace jasminespread
