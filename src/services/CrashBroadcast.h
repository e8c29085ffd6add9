/** \file
 * Brings records of features that servers crash under to the other boxes: to all of them as soon as
 * a record changes and again later, as a datagram may be lost; to boxes that have just started; and
 * some in turn to a random box, so that what was lost arrives eventually.
 */
#pragma once

#include "forward/CrashTable.h"
#include "services/Context.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace limereel::services {

/** Sends the records of one box. */
class CrashBroadcast
{
public:
    CrashBroadcast(Context &context, const forward::CrashTable &book)
        : context_(context)
        , book_(book)
    {
    }

    /** Sends the record of a feature to all boxes, now and again later. */
    void sendToAll(const forward::RequestIdentity &feature);

    /** Sends what is due; called regularly. */
    void sweep();

private:
    /** A record that is sent to all boxes once more. */
    struct Resend
    {
        forward::RequestIdentity feature;
        kernel::Instant due;
    };

    void sendOnceToAll(const forward::RequestIdentity &feature);
    void sendTo(std::uint64_t box, const std::vector<forward::CrashRecord> &records);
    void sendDueResends();
    void sendToNewcomers();
    void sendToRandomBox();

    Context &context_;
    const forward::CrashTable &book_;
    std::deque<Resend> resends_;
    std::map<std::uint64_t, std::uint64_t>
            incarnations_;       ///< Incarnation of each box at the last sweep.
    std::size_t nextRecord_ = 0; ///< The record that sendToRandomBox() sends next.
};

} // namespace limereel::services
