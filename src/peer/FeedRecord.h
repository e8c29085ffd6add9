/** \file
 * What one feed of a box knows, and what the box may tell another one of it.
 *
 * A box that hears from a relay passes on what it heard, so ages add up over boxes and none makes
 * them younger.
 */
#pragma once

#include "peer/FeedMessages.h"

namespace limereel::peer {

/** The record. Pure: time is handed in. */
class FeedRecord
{
public:
    /** Takes a whole list; see ObjectHistory. */
    void replace(std::vector<store::KeptObject> objects, std::uint64_t at, kernel::Instant told);

    /** Takes changes. */
    void change(std::vector<store::KeptObject> objects, std::uint64_t at, kernel::Instant told);

    /** Nothing newer was in the store at \a asOf than what is known. */
    void confirm(kernel::Instant asOf);

    /** The store failed to answer this box, or another one that told so. */
    void noteStoreFailure(kernel::Instant when);

    /** Whether the box has nobody left that tells it news. */
    void setLost(bool lost) { lost_ = lost; }
    bool lost() const { return lost_; }

    std::optional<std::uint64_t> at() const { return history_.at(); }
    std::optional<kernel::Instant> confirmedAsOf() const { return confirmedAsOf_; }
    std::optional<kernel::Instant> storeFailedAt() const { return storeFailedAt_; }

    /** Whether \a ask is answered without waiting: there is news for it, or none can come. */
    bool answersAtOnce(const FeedAsk &ask) const;

    /** The answer to \a ask, which was taken in at \a question. Objects of more than \a largest
     * bytes are only named. One that has lost the store tells what it knows all the same: a box
     * that starts in an outage then knows as much as its hall. */
    FeedAnswer answer(const FeedAsk &ask, kernel::Instant question, std::size_t largest) const;

private:
    store::ObjectHistory history_;
    std::optional<kernel::Instant> confirmedAsOf_;
    std::optional<kernel::Instant> storeFailedAt_;
    bool lost_ = false;
};

/** What an asker makes of an answer. */
enum class Verdict : std::uint8_t {
    Good,    ///< What it says holds.
    Foreign, ///< It answers another question.
    Lost,    ///< The relay has lost the store or knows nothing.
    Old      ///< Its confirmation is too old.
};

/** Judges \a answer to \a ask, which was \a asked then. \param oldest age that a confirmation may
 * have at \a now. */
Verdict judge(const FeedAnswer &answer, const FeedAsk &ask, kernel::Instant asked,
              kernel::Instant now, kernel::Duration oldest);

} // namespace limereel::peer
