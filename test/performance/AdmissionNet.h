/** \file
 * The event queue of an admission bench and the datagrams between its boxes.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace limereel::performance {

/** One way each. */
inline constexpr kernel::Duration Hop = 1ms;

/** Events in their order, and datagrams between boxes, some of which are lost. */
class AdmissionNet
{
public:
    AdmissionNet(std::size_t boxes, std::uint64_t seed);

    kernel::Instant now() const { return now_; }
    void after(kernel::Duration wait, std::function<void()> what);

    /** Plays what is due until \a end. */
    void runUntil(kernel::Instant end);

    /** Plays all that is left. */
    void run();

    /** A datagram; within one box it is neither counted nor lost. */
    void tell(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> what);

    double mostMessages() const;
    double mostBytes() const;
    std::mt19937_64 &random() { return random_; }

private:
    struct Event
    {
        kernel::Instant at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void step();

    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    kernel::Instant now_;
    std::vector<double> messages_; ///< By box.
    std::vector<double> bytes_;
};

} // namespace limereel::performance
