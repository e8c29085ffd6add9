#include "kernel/HeldSignals.h"

#include <csignal>
#include <initializer_list>
#include <pthread.h>

namespace limereel::kernel {

namespace {

void mask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void holdSignals()
{
    mask(SIG_BLOCK);
}

void releaseSignals()
{
    mask(SIG_UNBLOCK);
}

} // namespace limereel::kernel
