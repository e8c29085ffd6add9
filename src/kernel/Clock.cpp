#include "kernel/Clock.h"

#include <cerrno>
#include <ctime>
#include <system_error>

namespace limereel::kernel {

Instant now()
{
    timespec time{};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
        throw std::system_error(errno, std::generic_category(), "the clock can't be read");
    }
    const auto since = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(since));
}

} // namespace limereel::kernel
