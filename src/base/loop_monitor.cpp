#include "base/loop_monitor.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

/// A poll that takes longer had no input when it began.
constexpr Milliseconds longestPollWithInput {1};

// GLib's poll function has no user data.
thread_local LoopMonitor* activeMonitor = nullptr;

} // namespace

LoopMonitor::LoopMonitor(GMainContext* context, Milliseconds reportedTurn, Report report)
    : m_context(context)
    , m_reportedTurn(reportedTurn)
    , m_report(std::move(report))
    , m_turnAt(monotonicNow())
    , m_inputArrivedAfter(m_turnAt)
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
    const MonotonicTime polledAt = monotonicNow();
    monitor.endTurn(polledAt);
    const gint n = g_poll(descriptors, count, timeout);
    const MonotonicTime now = monotonicNow();
    // A poll that waited ends with the first input; before another one, input may have lain for the whole last turn.
    monitor.m_inputArrivedAfter = now - polledAt > longestPollWithInput ? now : monitor.m_turnAt;
    monitor.m_turnAt = now;
    return n;
}

void LoopMonitor::endTurn(MonotonicTime now)
{
    const Milliseconds turn = std::chrono::duration_cast<Milliseconds>(now - m_turnAt);
    if (turn >= m_reportedTurn) {
        std::string steps;
        for (const Charge& charge : m_charges) {
            const Milliseconds time = std::chrono::duration_cast<Milliseconds>(charge.time);
            steps += (steps.empty() ? "" : ",") + std::string(charge.name) + ':' + std::to_string(time.count()) + '/'
                + std::to_string(charge.count);
        }
        m_report(turn, steps);
    }
    m_charges.clear();
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
    std::vector<Charge>& charges = m_monitor.m_charges;
    auto it
        = std::find_if(charges.begin(), charges.end(), [this](const Charge& charge) { return charge.name == m_name; });
    if (it == charges.end()) {
        it = charges.insert(charges.end(), {m_name, 0, {}});
    }
    ++it->count;
    it->time += monotonicNow() - m_startedAt;
}

} // namespace jasminespread
