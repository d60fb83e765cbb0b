/// Handling of the signals that terminate a program or reload its settings.
#pragma once

#include <functional>

namespace coriandermount {

/// Blocks SIGINT, SIGTERM and SIGHUP in the calling thread and the threads that it starts later, and ignores SIGPIPE in the whole
/// process. Must be called before any thread is started.
void blockTerminationSignals();

/// Blocks until SIGINT or SIGTERM arrives. Calls `reload`, if it is set, on the calling thread for each SIGHUP.
void waitForTerminationSignal(const std::function<void()>& reload = {});

} // namespace coriandermount
