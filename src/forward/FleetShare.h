/** \file
 * The part of a limit of the whole fleet that one box may spend without asking the others.
 *
 * The parts of all boxes together must not exceed the limit, whatever each of them sees. So a part
 * isn't what is left after division by the boxes that happen to be seen. It works like a lease:
 *
 * - A box has no part until it has seen the whole fleet, that is a box of each hall, and the number
 *   of boxes in sight has stopped growing.
 * - From then on the largest number seen counts. It shrinks only while all halls are in sight,
 *   because a box that sees less may itself be the one that is cut off.
 * - A box that sees less than half of that number has lost its part: the others may by then have
 *   divided the limit among themselves.
 * - In the first window after a box gained its part, the part is small: its former process, or the
 *   boxes that had the limit before, may have spent all of it just then.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace limereel::forward {

/** What a box sees of the fleet. */
struct FleetSight
{
    std::size_t boxes = 1; ///< Live boxes, this one included.
    bool whole = false;    ///< Whether they could be all: a box of each hall is among them.

    auto operator<=>(const FleetSight &) const = default;
};

/** The settings of a FleetShare. */
struct FleetSharePolicy
{
    kernel::Duration window = 10s;        ///< Over which the limit counts.
    kernel::Duration settle = 3s;         ///< The fleet is known once it hasn't grown for so long.
    kernel::Duration rememberedFor = 60s; ///< How long a larger fleet is remembered.
    /** Of the part, in the first window. Boxes spend four fifths of a limit; a quarter of that
     * again is the last fifth. */
    double firstPart = 0.25;
    /** Boxes that are assumed until the fleet is known, where no halls are listed; 0: this box has
     * no part until then. */
    std::size_t guess = 0;
};

/** How a box knows the size of the fleet. */
enum class FleetKnowledge : std::uint8_t {
    Unknown,    ///< It hasn't seen the whole fleet yet.
    CutOff,     ///< It sees less than half of the fleet that it knew.
    Remembered, ///< It sees a part, and counts the largest fleet that it saw.
    Seen        ///< It sees as many boxes as it counts.
};

/** The name for logs. */
std::string_view text(FleetKnowledge knowledge);

/** The part of one box. Deterministic: callers pass in the current time. */
class FleetShare
{
public:
    explicit FleetShare(FleetSharePolicy policy = {})
        : policy_(policy)
    {
    }

    /** Records what is seen now; called about every second. */
    void note(const FleetSight &sight, kernel::Instant now);

    /** The part of the limit that this box may spend, 0 to 1. */
    double part() const;

    /** The part of what the box's own requests earn that it may spend, 0 to 1: little in the first
     * window of a process, as its former one may have spent what it had saved just before. */
    double ratioPart() const { return firstWindow_ ? policy_.firstPart : 1; }

    /** The number of boxes among which the limit is divided; 0 before the first note(). */
    std::size_t boxes() const { return boxes_; }

    FleetKnowledge knowledge() const { return knowledge_; }

private:
    void count(const FleetSight &sight, kernel::Instant now);
    void shrink(const FleetSight &sight, kernel::Instant now);
    FleetKnowledge knowledgeFrom(const FleetSight &sight) const;

    FleetSharePolicy policy_;
    std::size_t boxes_ = 0;
    bool known_ = false;      ///< Whether the whole fleet was seen.
    bool newPart_ = true;     ///< Whether this box has had its part for less than a window.
    bool firstWindow_ = true; ///< Whether this process has run for less than a window.
    std::optional<kernel::Instant> startedAt_;  ///< When note() was called first.
    kernel::Instant grownAt_;                   ///< When \c boxes_ grew last.
    std::size_t fewer_ = 0;                     ///< Largest number seen since \c fewerSince_.
    std::optional<kernel::Instant> fewerSince_; ///< Since when fewer boxes in all halls are seen.
    std::optional<kernel::Instant> partSince_;  ///< Since when this box has its part.
    FleetKnowledge knowledge_ = FleetKnowledge::Unknown;
};

} // namespace limereel::forward
