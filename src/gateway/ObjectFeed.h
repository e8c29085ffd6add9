/** \file
 * Follows all objects of one kind in the store: reads a list, then watches for changes from there.
 * It reads a new list when the store no longer has the history since the last watch, and after an
 * outage: the missed changes may be many versions of a large object, of which only the newest
 * matters.
 *
 * If some boxes of the hall act as relays (store/SourceSelector.h), the other boxes ask them
 * instead of the store, so that the calls to the store don't grow with the number of boxes in a
 * hall.
 *
 * A list of which a page can't be had, for whatever reason, is used as far as it was read, and
 * followed by watches. It is neither confirmed nor passed on, and is read again now and then.
 *
 * Its lists are read in FeedListing.cpp; its relays are asked, and their answers applied, in
 * FeedRelaying.cpp.
 *
 * An outage leaves the known state unchanged. Each answered watch also confirms that the store had
 * nothing newer when the watch was sent; an answer of a relay confirms this for the time of the
 * relay's own last confirmation.
 */
#pragma once

#include "gateway/Adapter.h"
#include "gateway/FeedConnection.h"
#include "gateway/FeedSources.h"
#include "gateway/RelayClient.h"
#include "gateway/StoredJson.h"
#include "peer/FeedRecord.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"
#include "store/Backoff.h"
#include "store/FeedPace.h"
#include "store/ListCursor.h"
#include "store/SourceSelector.h"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace limereel::gateway {

/** The timings of one feed. */
struct FeedPaces
{
    store::FeedPace alone;    ///< For a box that asks the store for itself.
    store::FeedPace relaying; ///< For a box that also asks it for others.

    /** Age from which on a relay's state is too old to use. */
    kernel::Duration maxRelayedAge{};

    /** Time in which the box must know a change, whatever its relays do. */
    kernel::Duration changeKnownWithin{};

    /** How long a box without any state waits for heartbeats that name relays before it asks the
     * store itself; zero: it doesn't wait. */
    kernel::Duration awaitRelays{};

    store::SourcePolicy sources = {}; ///< Read once, when the feed is created.
};

/** The callbacks of a feed. */
struct FeedHooks
{
    /** Receives objects that are new, changed or removed; many of them come in several batches. */
    std::function<void(std::span<const store::StoredObject>)> changed;

    /** Called after a complete list with the names of all objects; all others are gone. */
    std::function<void(const std::set<std::string> &names)> listComplete = [](const auto &) {};

    /** Called after a list that couldn't be read to its end: what it lacks may exist. */
    std::function<void()> listPartial = [] {};

    /** Called when the known state was found to be the newest at \a asOf. */
    std::function<void(kernel::Instant asOf)> confirmed;

    /** Whether the feed may ask the store if the box has relays but none of them works. */
    std::function<bool()> storeAllowed = [] { return true; };
};

/** Follows the objects of one kind. */
class ObjectFeed
{
public:
    /** \param onlyName the name of the only object that matters; it is asked for by its name if
     * the first page of the list doesn't hold it. Empty: all do. */
    ObjectFeed(services::Context &context, const store::ObjectFormat &format, std::string kind,
               const FeedPaces &paces, FeedSources &sources, FeedHooks hooks,
               std::string onlyName = {});

    /** When the store last failed to answer; empty if it never did. */
    std::optional<kernel::Instant> lastFailure() const { return record_.storeFailedAt(); }

    /** Whether something that has arrived isn't processed yet. Only valid after one more turn of
     * the event loop, in which it handles what it has already read. */
    bool hasUnprocessed() const;

    /** When the store sent the state for which the hooks are being called, or earlier. The process
     * may have read it much later. */
    kernel::Instant reportedAt() const { return reportedAt_; }

    /** Whether this box's last answer came from the store itself. */
    bool heardFromStore() const { return heardFromStore_; }

    /** Whether the store failed to answer this box's last call, and hasn't answered another box
     * since, as far as this one knows. */
    bool storeFailing() const;

    /** Lets the feed ask the store again: another feed of this box has heard from it. */
    void noteStoreHeard();

    /** Replaces the timings, from the next call on. */
    void setPaces(const FeedPaces &paces) { paces_ = paces; }

    /** Asks again at once if the feed is pausing after a failure. */
    void retryNow();

    /** The state that is passed on to other boxes. */
    const peer::FeedRecord &record() const { return record_; }

    /** Records that another box has asked this one. */
    void noteAsked();

    /** Cancels a timer when there is news, for as long as this object exists. It may outlive the
     * feed. */
    class NewsWaiter
    {
    public:
        NewsWaiter(ObjectFeed &feed, boost::asio::steady_timer &timer)
            : timers_(feed.waiting_)
            , timer_(timer)
        {
            timers_->insert(&timer_);
        }
        ~NewsWaiter() { timers_->erase(&timer_); }
        NewsWaiter(const NewsWaiter &) = delete;
        NewsWaiter &operator=(const NewsWaiter &) = delete;

    private:
        std::shared_ptr<std::set<boost::asio::steady_timer *>> timers_;
        boost::asio::steady_timer &timer_;
    };

private:
    /** Well within any store's history, so that the watch can start from the first page's revision.
     */
    static constexpr kernel::Duration MaxListingTime = 8s;

    /** A list that is read page by page. It is kept when the store refuses a page, so that all of
     * many boxes that start together can finish theirs although the store refuses some calls. */
    struct Listing
    {
        kernel::Instant begun;
        kernel::Instant pageAt; ///< When the last page came.
        std::uint64_t at = 0;   ///< Revision of the first page; the watch starts there.
        std::size_t inUse = 0;  ///< Objects that were delivered before the list's end.
        store::ListCursor cursor;
        std::vector<store::StoredObject> objects;
        std::vector<store::KeptObject> kept; ///< The same objects, serialized for other boxes.
    };

    /** A list that couldn't be read to its end. Watches follow what was read of it. */
    struct PartialList
    {
        std::uint64_t at = 0;       ///< Where the next watch starts.
        std::uint64_t listedAt = 0; ///< Where it starts if the history since at is lost.
        kernel::Instant begun;      ///< Since when no whole list has been had.
        kernel::Instant listAgainAt;
    };

    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<kernel::Duration> storeRound(bool relaying);
    boost::asio::awaitable<void> relayRound(store::FeedStep step);
    boost::asio::awaitable<bool> list();
    bool mayContinueList(kernel::Instant now) const;
    boost::asio::awaitable<std::optional<store::ListProgress>> readPage();
    boost::asio::awaitable<std::optional<store::ListProgress>> readOnlyObject();
    bool holdsOnlyObject() const;
    std::optional<store::ListProgress> notePageFault(store::PageFault fault,
                                                     const std::string &what);
    boost::asio::awaitable<void> useReadPart();
    boost::asio::awaitable<void> applyList(Listing listing);
    boost::asio::awaitable<void> applyPartialList(Listing listing);
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<void> applyChanges(const store::ObjectChanges &changes,
                                              std::size_t bytes);
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> askStore(std::string target,
                                                                             AnswerWait wait);
    boost::asio::awaitable<void> applyAnswer(peer::FeedAnswer answer, kernel::Instant asked);
    void noteRelayAnswer(std::uint64_t relay);
    boost::asio::awaitable<bool> applyNews(peer::FeedAnswer answer);
    boost::asio::awaitable<bool> applyWholeList(peer::FeedAnswer answer);
    store::FeedStep nextStep() const;
    peer::FeedAsk makeAsk(kernel::Duration hold) const;
    store::AskTimes askTimes(const store::FeedStep &step, kernel::Instant now) const;
    std::optional<kernel::Instant> searchUntil() const;
    void confirm(kernel::Instant asOf);
    void noteKnown(kernel::Instant asOf);
    void noteStoreAnswer();
    store::ListProgress appendPage(store::ObjectPage page, std::size_t bytes);
    bool mayWatch() const;
    kernel::Duration watchWait(kernel::Instant now) const;
    void noteFailure(const std::string &what);
    void noteRelayFault(std::uint64_t relay, const std::string &what, store::RelayFault fault);
    void noteAnswer();
    bool readsStoreDirectly() const;
    void noteLost(const std::string &why);
    bool awaitingRelays() const;
    bool leavesListToRelays() const;
    boost::asio::awaitable<void> deliver(std::span<const store::StoredObject> objects);
    void deliverNames(std::span<const store::StoredObject> objects);
    void noteUnreadable(std::size_t objects);
    kernel::Instant reportTimeOf(const peer::FeedAnswer &answer, kernel::Instant asked) const;
    void noteSource(const std::string &source);
    void notifyWaiters();

    /** The last call to the store, for the log. */
    struct LastCall
    {
        const char *what = "none"; ///< "list", "object" or "watch".
        std::string after;         ///< The name behind which a list was to go on.
        std::size_t read = 0;      ///< Objects of the list that were read before.
        store::PageFault fault{};  ///< Of the page of a list that didn't come.
        std::string why;           ///< The same in words.
    };

    services::Context &context_;
    const store::ObjectFormat &format_;
    std::string kind_;
    std::string onlyName_;
    LastCall lastCall_;
    FeedPaces paces_;
    FeedSources &sources_;
    FeedHooks hooks_;
    store::SourceSelector book_;
    peer::FeedRecord record_;
    FeedConnection storeConnection_;
    RelayClient relayClient_;
    StoredJson json_;
    std::shared_ptr<std::set<boost::asio::steady_timer *>> waiting_ =
            std::make_shared<std::set<boost::asio::steady_timer *>>(); ///< Timers of held asks.
    std::optional<Listing> listing_;
    std::optional<PartialList> partial_; ///< Set until the list is known as a whole.
    bool listTookTooLong_ = false;       ///< The list before this one came to no end.
    std::optional<std::uint64_t> at_;    ///< Where the next watch starts; empty: list first.
    kernel::Instant reportedAt_;
    /** When this box last knew all that the store held. Unlike a confirmation it includes the time
     * of a watch, which the store would have ended with news; it isn't passed on. */
    std::optional<kernel::Instant> knownAsOf_;
    kernel::Instant began_;       ///< When the feed was created.
    kernel::Instant listedFirst_; ///< When the first list was started.
    /** When the store answered that it no longer has the history since at_; a list is needed. */
    std::optional<kernel::Instant> historyLost_;
    std::string source_; ///< The source that was last logged.
    bool heardFromStore_ = false;
    bool relaying_ = false;      ///< The running call to the store is also for other boxes.
    bool askingRelay_ = false;   ///< An ask of a relay is running.
    bool abandoned_ = false;     ///< The running ask was cancelled because this box became a relay.
    bool relayFault_ = false;    ///< No relay has given a useful answer since one failed.
    bool tooLarge_ = false;      ///< The relay named an object that only the store can send.
    bool changed_ = false;       ///< The last watch brought changes.
    bool processing_ = false;    ///< A complete answer has arrived and isn't processed yet.
    kernel::Duration latency_{}; ///< Of the store's last answer, without the watch's wait.
    bool failing_ = false;
    std::unique_ptr<services::PeriodicTask> loop_;
};

} // namespace limereel::gateway
