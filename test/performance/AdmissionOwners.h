/** \file
 * The owners' side of an admission bench: an event queue, the datagrams between boxes, and the
 * books of the owners with different limits.
 */
#pragma once

#include "admission/PlaceBook.h"
#include "performance/AdmissionLoad.h"
#include "performance/AdmissionNet.h"

#include <functional>
#include <vector>

namespace limereel::performance {

/** How an owner limits the places of a server. */
enum class LimitKind : std::uint8_t {
    Aimd,         ///< ServerCapacity.
    AimdOneAhead, ///< The same, but one place is granted ahead whatever the time of a place.
    Fixed,        ///< The slots.
    Gradient,     ///< By the ratio of the shortest to the recent time of a place.
    Delay         ///< By the queueing delay: the shortest time lately beyond the shortest of all.
};

/** Limit by the ratio of the shortest to the recent time of a place. */
class GradientLimit
{
public:
    GradientLimit(std::uint32_t slots, std::uint32_t most);
    void noteHeld(kernel::Duration held);
    double limit() const { return limit_; }

private:
    double limit_;
    double most_;
    double shortest_ = 0; ///< Seconds.
    double recent_ = 0;
};

/** Limit by the queueing delay. */
class DelayLimit
{
public:
    DelayLimit(std::uint32_t slots, std::uint32_t most);
    void noteHeld(kernel::Duration held, kernel::Instant now);
    double limit() const { return limit_; }

private:
    double limit_;
    double most_;
    double shortest_ = 0; ///< Seconds.
    double lately_ = 0;   ///< Shortest in this round.
    double mean_ = 0;
    kernel::Instant roundUntil_;
};

/** The books of all boxes; a server has one owner. */
class AdmissionOwners
{
public:
    using Deliver = std::function<void(const admission::Decision &)>;

    AdmissionOwners(AdmissionNet &net, const AdmissionLoad &load, std::size_t boxes, LimitKind kind,
                    Deliver deliver);

    /** A box asks for a place; slots and server are filled in. */
    void ask(std::size_t server, admission::PlaceRequest request);

    /** A box ends a place, or the wait for one. */
    void end(std::size_t box, std::size_t server, admission::PlaceEnd end, kernel::Duration held);

private:
    struct Server
    {
        std::size_t owner = 0;
        GradientLimit gradient;
        DelayLimit delay;
    };

    std::uint32_t slotsTold(const Server &server) const;
    void answer(std::size_t owner, const admission::Decision &decision);
    void settle(std::size_t owner);
    void startTicks(std::size_t owner);

    AdmissionNet &net_;
    std::uint32_t slots_;
    LimitKind kind_;
    Deliver deliver_;
    std::vector<Server> servers_;
    std::vector<admission::PlaceBook> books_; ///< By box.
    std::vector<bool> ticking_;
    std::size_t askBytes_;
    std::size_t answerBytes_;
    std::size_t endBytes_;
};

} // namespace limereel::performance
