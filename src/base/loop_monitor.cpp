#include "base/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

/// A poll that takes longer found no input ready when it started.
constexpr Milliseconds maxPollWithReadyInput {1};

// GLib's poll function has no user data.
thread_local LoopMonitor* activeMonitor = nullptr;

} // namespace

LoopMonitor::LoopMonitor(GMainContext* context, Milliseconds reportThreshold, Report report)
    : m_context(context)
    , m_reportThreshold(reportThreshold)
    , m_report(std::move(report))
    , m_iterationStart(monotonicNow())
    , m_inputArrivedAfter(m_iterationStart)
{
    activeMonitor = this;
    g_main_context_set_poll_func(m_context, poll);
}

LoopMonitor::~LoopMonitor()
{
    g_main_context_set_poll_func(m_context, nullptr);
    activeMonitor = nullptr;
}

gint LoopMonitor::poll(GPollFD* descriptors, guint count, gint timeout)
{
    LoopMonitor& monitor = *activeMonitor;
    const MonotonicTime pollStart = monotonicNow();
    monitor.endIteration(pollStart);
    const gint n = g_poll(descriptors, count, timeout);
    const MonotonicTime now = monotonicNow();
    // A poll that waited returns when the first input arrives. Otherwise the input may have arrived at any time during
    // the previous iteration.
    monitor.m_inputArrivedAfter = now - pollStart > maxPollWithReadyInput ? now : monitor.m_iterationStart;
    monitor.m_iterationStart = now;
    return n;
}

void LoopMonitor::endIteration(MonotonicTime now)
{
    const Milliseconds iterationTime = std::chrono::duration_cast<Milliseconds>(now - m_iterationStart);
    if (iterationTime >= m_reportThreshold) {
        std::string steps;
        for (const StepTotal& stepTotal : m_stepTotals) {
            const Milliseconds time = std::chrono::duration_cast<Milliseconds>(stepTotal.time);
            steps += (steps.empty() ? "" : ",") + std::string(stepTotal.name) + ':' + std::to_string(time.count()) + '/'
                + std::to_string(stepTotal.count);
        }
        m_report(iterationTime, steps);
    }
    m_stepTotals.clear();
}

LoopMonitor::Step::Step(LoopMonitor& monitor, std::string_view name)
    : m_monitor(monitor)
    , m_name(name)
    , m_startedAt(monotonicNow())
    , m_outermost(!std::exchange(monitor.m_inStep, true))
{
}

LoopMonitor::Step::~Step()
{
    if (!m_outermost) {
        return;
    }
    m_monitor.m_inStep = false;
    std::vector<StepTotal>& stepTotals = m_monitor.m_stepTotals;
    auto it = std::find_if(
        stepTotals.begin(), stepTotals.end(), [this](const StepTotal& stepTotal) { return stepTotal.name == m_name; });
    if (it == stepTotals.end()) {
        it = stepTotals.insert(stepTotals.end(), {m_name, 0, {}});
    }
    ++it->count;
    it->time += monotonicNow() - m_startedAt;
}

} // namespace jasminespread
