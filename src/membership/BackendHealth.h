/** \file
 * Whether a backend server is usable, from probes and from what requests met, with flaps damped.
 *
 * Two failures in a row make it unusable. One that has flapped must pass more probes in a row
 * before it is used again, twice as many after each further fall, so that a flapping engine doesn't
 * pull its chats to and fro. A stretch of good health wipes the record.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>

namespace limereel::membership {

/** The health of one backend server. */
class BackendHealth
{
public:
    /** A probe was answered, by the incarnation \a incarnation. */
    void noteProbeSuccess(std::uint32_t incarnation, kernel::Instant now);

    /** A probe or a request could not reach it. */
    void noteUnreachable(kernel::Instant now);

    bool usable() const { return usable_; }
    std::uint32_t incarnation() const { return incarnation_; }

private:
    void fall(kernel::Instant now);
    int goodsNeeded() const;

    bool usable_ = false;
    std::uint32_t incarnation_ = 0;
    int goods_ = 0;
    int bads_ = 0;
    int falls_ = 0;
    kernel::Instant fell_;
};

} // namespace limereel::membership
