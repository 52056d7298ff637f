#pragma once

#include <jasminespread/time.h>

#include <functional>

namespace jasminespread::standins {

/// @name Timers and main loop of the default main context
/// All functions are called from the thread that runs the main loop.
/// @{
using TimerId = unsigned;

/// Runs @p action once after @p delay, never before returning.
TimerId startTimer(Milliseconds delay, std::function<void()> action);
/// Ends a timer that has not run yet. Precondition: the timer has not run.
void stopTimer(TimerId timer);
/// Runs the default main context until SIGTERM or SIGINT arrives.
void runMainLoop();
/// @}

} // namespace jasminespread::standins
