#include "support/Standstill.h"

#include <boost/asio.hpp>
#include <memory>
#include <thread>

namespace limereel::support {

namespace asio = boost::asio;

void standStill(asio::io_context &io, Standstill standstill)
{
    auto timer = std::make_shared<asio::steady_timer>(io);
    asio::post(io, [timer, standstill = std::move(standstill)] {
        if (standstill.ahead) {
            // Timers that are ready in the same pass are handled in the order of their ends.
            timer->expires_at(std::chrono::steady_clock::time_point::min());
            timer->async_wait(
                    [timer, ahead = standstill.ahead](boost::system::error_code) { ahead(); });
        }
        if (standstill.during) {
            standstill.during();
        }
        std::this_thread::sleep_until(standstill.until);
    });
}

} // namespace limereel::support
