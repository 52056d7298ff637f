#pragma once

#include <jasminespread/effect.h>
#include <jasminespread/event.h>
#include <jasminespread/instance_settings.h>

#include <memory>

namespace jasminespread {

/// Control decisions of an instance: membership, configuration, authority and placement.
/// Pure: it reads no clock, draws no random numbers and does no I/O. Not thread-safe; owned by the control thread.
class ControlReducer {
public:
    /// @param incarnation random number of this process start, never 0; also seeds change ids.
    ControlReducer(InstanceSettings settings, std::uint64_t incarnation);
    ~ControlReducer();
    ControlReducer(const ControlReducer&) = delete;
    ControlReducer& operator=(const ControlReducer&) = delete;

    /// Applies one event and returns the effects that the control loop must execute, in order.
    /// Precondition: event times never go backwards.
    [[nodiscard]] Effects reduce(const TimedEvent& event);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
