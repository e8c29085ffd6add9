// Preloaded into a process under test: at each SIGUSR2 the clock that counts a suspension of the
// machine, and the time of day, run ahead of the steady one by half a minute, as after a
// suspension of that length.

#include <atomic>
#include <csignal>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr time_t SuspendedFor = 30; // Seconds.

std::atomic<time_t> ahead = 0;

void suspend(int)
{
    ahead += SuspendedFor;
}

__attribute__((constructor)) void listen()
{
    std::signal(SIGUSR2, suspend);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = ::syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)) {
        time->tv_sec += ahead;
    }
    return static_cast<int>(result);
}
