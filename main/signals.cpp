#include "main/signals.h"

#include <csignal>

namespace coriandermount {

namespace {

    sigset_t endSignals()
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
    const sigset_t set = endSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    // A peer that closes a connection early must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTerminationSignal(const std::function<void()>& reload)
{
    const sigset_t set = endSignals();
    int received = 0;
    while (sigwait(&set, &received) == 0 && received == SIGHUP) {
        if (reload)
            reload();
    }
}

} // namespace coriandermount
