#include "main/signals.h"

#include <csignal>

namespace coriandermount {

namespace {

    sigset_t handledSignals()
    {
        sigset_t set;
        sigemptyset(&set);
        sigaddset(&set, SIGINT);
        sigaddset(&set, SIGTERM);
        sigaddset(&set, SIGHUP);
        return set;
    }

} // namespace

void blockTerminationSignals()
{
    const sigset_t set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTerminationSignal(const std::function<void()>& reload)
{
    const sigset_t set = handledSignals();
    int received = 0;
    while (sigwait(&set, &received) == 0 && received == SIGHUP) {
        if (reload)
            reload();
    }
}

} // namespace coriandermount
