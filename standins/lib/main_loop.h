#pragma once

#include <jasminespread/time.h>

#include <functional>

namespace jasminespread::standins {

/// @name Timers and main loop of the default main context
/// All functions must be called from the thread that runs the main loop.
/// @{
using TimerId = unsigned;

/// Runs @p action once from the main loop after @p delay, even for a delay of 0 never inside this call.
TimerId startTimer(Milliseconds delay, std::function<void()> action);
/// Cancels a timer. Precondition: its action has not run.
void cancelTimer(TimerId timer);
/// Runs the default main context until SIGTERM or SIGINT is received.
void runMainLoop();
/// @}

} // namespace jasminespread::standins
