/** \file
 * What one feed of a box knows, and what the box may tell another one of it.
 *
 * A box that hears from a relay passes on what it heard, so ages add up over boxes and none makes
 * them younger.
 */
#pragma once

#include "peer/FeedMessages.h"

#include <deque>

namespace limereel::peer {

/** An answer in its form on the wire. */
struct EncodedAnswer
{
    Bytes bytes;
    bool lost = false;
    bool news = false; ///< It tells of objects.
};

/** The record. Pure: time is handed in. */
class FeedRecord
{
public:
    /** Takes a whole list; see ObjectHistory. */
    void replace(std::vector<store::KeptObject> objects, std::uint64_t at, kernel::Instant told);

    /** Takes changes. */
    void change(std::vector<store::KeptObject> objects, std::uint64_t at, kernel::Instant told);

    /** See ObjectHistory. */
    std::optional<store::MergedList> merge(std::vector<store::KeptObject> whole) const
    {
        return history_.merge(std::move(whole));
    }

    /** Nothing newer was in the store at \a asOf than what is known. */
    void confirm(kernel::Instant asOf);

    /** The store failed to answer this box, or another one that told so. */
    void noteStoreFailure(kernel::Instant when);

    /** Whether the box has nobody left that tells it news. */
    void setLost(bool lost) { lost_ = lost; }
    bool lost() const { return lost_; }

    std::optional<std::uint64_t> at() const { return history_.at(); }
    std::size_t objects() const { return history_.objects(); }
    std::optional<kernel::Instant> confirmedAsOf() const { return confirmedAsOf_; }
    std::optional<kernel::Instant> storeFailedAt() const { return storeFailedAt_; }

    /** Whether \a ask is answered without waiting: there is news for it, or none can come. */
    bool answersAtOnce(const FeedAsk &ask) const;

    /** The answer to \a ask, which was taken in at \a question. Objects of more than \a largest
     * bytes are only named. One that has lost the store tells what it knows all the same: a box
     * that starts in an outage then knows as much as its hall. */
    FeedAnswer answer(const FeedAsk &ask, kernel::Instant question, std::size_t largest) const;

    /** The same in its form on the wire. What is told to all who stand at the same revision is
     * encoded once: a hall of 200 boxes asks its relay for each change. */
    EncodedAnswer encodedAnswer(const FeedAsk &ask, kernel::Instant question,
                                std::size_t largest) const;

private:
    /** News that were told to somebody, for the next one who asks the same. */
    struct Told
    {
        std::uint64_t since = 0;
        std::size_t largest = 0; ///< Bytes of an object that isn't only named.
        bool whole = false;
        bool news = false;
        std::optional<kernel::Instant> told;
        Bytes objects; ///< Encoded.
    };

    FeedAnswer answerHead(const FeedAsk &ask, kernel::Instant question) const;
    bool knowsNothing() const { return !history_.at() || !confirmedAsOf_; }
    const Told &toldSince(std::uint64_t since, std::size_t largest) const;

    store::ObjectHistory history_;
    mutable std::deque<Told> told_; ///< Newest first.
    std::optional<kernel::Instant> confirmedAsOf_;
    std::optional<kernel::Instant> storeFailedAt_;
    bool lost_ = false;
};

/** What an asker makes of an answer. */
enum class Verdict : std::uint8_t {
    Good,    ///< What it says holds.
    Foreign, ///< It answers another question.
    Behind,  ///< It tells everything, and that is less than the asker knew before.
    Lost,    ///< The relay has lost the store or knows nothing.
    Old,     ///< Its confirmation is too old.
    Large    ///< It only names an object that the asker can't read from the store.
};

/** How a verdict is named in counters and logs. */
const char *text(Verdict verdict);

/** Whether what the answer tells, with its age, may be taken in all the same. */
bool tellsSomething(Verdict verdict);

/** What an asker knows when it judges an answer. */
struct AskState
{
    FeedAsk ask;
    kernel::Instant asked;     ///< By its own clock.
    kernel::Instant now;       ///< The same.
    std::uint64_t known = 0;   ///< The revision that it had reached, whatever it asked for.
    kernel::Duration oldest{}; ///< Age that a confirmation may have.
};

/** Judges \a answer. */
Verdict judge(const FeedAnswer &answer, const AskState &asker);

} // namespace limereel::peer
