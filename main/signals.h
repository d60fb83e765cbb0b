/// Waits for the signals that end a program.
#pragma once

#include <functional>

namespace coriandermount {

/// Blocks SIGINT, SIGTERM and SIGHUP in this thread and those it starts later. Called before any thread is started.
void blockTerminationSignals();

/// Waits for SIGINT or SIGTERM; calls `reload` for each SIGHUP, if there is one.
void waitForTerminationSignal(const std::function<void()>& reload = {});

} // namespace coriandermount
