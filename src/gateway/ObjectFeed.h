/** \file
 * Follows all objects of one kind in the store: a list first, then a watch that goes on from it,
 * and a new list whenever the store has forgotten what lay between, or has been away: what is
 * missed then may be many versions of a large object, of which only the newest counts.
 *
 * Where a few boxes of the hall ask the store for all (store/SourceBook.h), the others ask these:
 * what a box spends on calls to the store then doesn't grow with the boxes of its hall.
 *
 * An outage changes nothing that is known. Each answered watch also confirms that nothing newer had
 * been there when it was asked; an answer of a relay, that nothing newer was there when the relay
 * was last told so.
 */
#pragma once

#include "gateway/Adapter.h"
#include "gateway/FeedConnection.h"
#include "gateway/FeedSources.h"
#include "gateway/RelayCaller.h"
#include "peer/FeedRecord.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"
#include "store/FeedPace.h"
#include "store/SourceBook.h"

#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace limereel::gateway {

/** The paces of one feed. */
struct FeedPaces
{
    store::FeedPace alone;    ///< Of a box that asks the store for itself.
    store::FeedPace relaying; ///< Of one that asks it for others.

    /** Age from which on what a relay knows is too old. */
    kernel::Duration oldestHeard{};

    /** How long a box that knows nothing yet waits for heartbeats to name relays, before it asks
     * the store itself; zero: not at all. */
    kernel::Duration awaitRelays{};

    store::SourcePolicy sources = {}; ///< Taken once, when the feed is made.
};

/** What a feed calls. */
struct FeedHooks
{
    /** Objects that are new, changed or went; of many, some at a time. */
    std::function<void(std::span<const store::StoredObject>)> changed;

    /** All objects there are have been told; what isn't named is gone. */
    std::function<void(const std::set<std::string> &names)> listed = [](const auto &) {};

    /** What is known was the newest at \a asOf. */
    std::function<void(kernel::Instant asOf)> confirmed;

    /** Whether the feed may ask the store if the box has relays that don't help. */
    std::function<bool()> storeAllowed = [] { return true; };
};

/** One feed. */
class ObjectFeed
{
public:
    ObjectFeed(services::Context &context, const store::ObjectFormat &format, std::string kind,
               const FeedPaces &paces, FeedSources &sources, FeedHooks hooks);

    /** When the store last failed to answer; nothing if it never did. */
    std::optional<kernel::Instant> lastFailure() const { return record_.storeFailedAt(); }

    /** Whether something that has arrived isn't taken in yet. To be asked once the loop has had a
     * turn, in which it handles what it has read already. */
    bool behind() const;

    /** When the store told what the hooks are called for, or earlier; it may have lain unread. */
    kernel::Instant told() const { return told_; }

    /** Whether the store itself answered this box last. */
    bool heardFromStore() const { return heardFromStore_; }

    /** Replaces the paces, from the next call on. */
    void setPaces(const FeedPaces &paces) { paces_ = paces; }

    /** Asks again at once if the feed waits after a failure. */
    void hurry();

    /** What may be told to other boxes. */
    const peer::FeedRecord &record() const { return record_; }

    /** Another box has asked this one. */
    void noteAsked();

    /** Cancels a timer once there is news, for as long as this lives; it may outlive the feed. */
    class Waiting
    {
    public:
        Waiting(ObjectFeed &feed, boost::asio::steady_timer &timer)
            : timers_(feed.waiting_)
            , timer_(timer)
        {
            timers_->insert(&timer_);
        }
        ~Waiting() { timers_->erase(&timer_); }
        Waiting(const Waiting &) = delete;
        Waiting &operator=(const Waiting &) = delete;

    private:
        std::shared_ptr<std::set<boost::asio::steady_timer *>> timers_;
        boost::asio::steady_timer &timer_;
    };

private:
    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<kernel::Duration> storeRound(bool relaying);
    boost::asio::awaitable<void> relayRound(std::uint64_t relay, bool proven);
    boost::asio::awaitable<bool> list();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> askStore(std::string target,
                                                                             AnswerWait wait);
    boost::asio::awaitable<void> takeAnswer(peer::FeedAnswer answer, kernel::Instant asked);
    void noteRelayAnswer(std::uint64_t relay);
    boost::asio::awaitable<bool> takeNews(peer::FeedAnswer answer);
    boost::asio::awaitable<bool> takeWhole(peer::FeedAnswer answer);
    boost::asio::awaitable<std::vector<store::StoredObject>>
    readObjects(const std::vector<store::KeptObject> &kept);
    boost::asio::awaitable<nlohmann::json> readBody(const std::string &body);
    store::FeedStep nextStep() const;
    peer::FeedAsk makeAsk(bool proven) const;
    void confirm(kernel::Instant asOf);
    bool takePage(store::ObjectPage page, std::size_t bytes);
    void noteFailure(const std::string &what);
    void noteRelayFault(std::uint64_t relay, const std::string &what, store::RelayFault fault);
    void noteAnswer();
    bool inLine() const;
    void noteLost(const std::string &why);
    bool settling() const;
    bool leavesListToRelays() const;
    boost::asio::awaitable<void> handOver(std::span<const store::StoredObject> objects);
    void handOverNames(std::span<const store::StoredObject> objects);
    void noteUnreadable(std::size_t objects);
    kernel::Instant toldBy(const peer::FeedAnswer &answer, kernel::Instant asked) const;
    void noteSource(const std::string &source);
    void wake();

    /** A list that is read page by page; kept when the store refuses a page, so that a crowd of
     * starting boxes that it serves in turn all get to the end. */
    struct Listing
    {
        kernel::Instant begun;
        std::uint64_t at = 0; ///< The watch goes on from the first page.
        std::vector<store::StoredObject> objects;
        std::vector<store::KeptObject> kept; ///< The same, as they are passed on.
    };

    services::Context &context_;
    const store::ObjectFormat &format_;
    std::string kind_;
    FeedPaces paces_;
    FeedSources &sources_;
    FeedHooks hooks_;
    store::SourceBook book_;
    peer::FeedRecord record_;
    FeedConnection storeConnection_;
    RelayCaller relayCaller_;
    std::shared_ptr<std::set<boost::asio::steady_timer *>> waiting_ =
            std::make_shared<std::set<boost::asio::steady_timer *>>(); ///< Of held asks.
    std::optional<Listing> listing_;
    std::optional<std::uint64_t> at_; ///< Where the next watch goes on; nothing: list first.
    kernel::Instant told_;
    kernel::Instant began_;       ///< When the feed was made.
    kernel::Instant listedFirst_; ///< When the first list was begun.
    /** When the store said that it has forgotten what changed since at_; a list is needed. */
    std::optional<kernel::Instant> historyLost_;
    std::string source_; ///< As it was last logged.
    bool heardFromStore_ = false;
    bool relaying_ = false;      ///< The call to the store that runs is for others, too.
    bool askingRelay_ = false;   ///< An ask of a relay is under way,
    bool abandoned_ = false;     ///< and is given up, as this box has become one.
    bool relayFault_ = false;    ///< No relay has told anything of use since one failed.
    bool tooLarge_ = false;      ///< The relay has something that only the store can send.
    bool changed_ = false;       ///< The last watch brought changes.
    bool taking_ = false;        ///< An answer is whole and isn't taken in yet.
    kernel::Duration latency_{}; ///< Of the store's last answer, waits taken off.
    bool failing_ = false;
    std::unique_ptr<services::PeriodicTask> loop_;
};

} // namespace limereel::gateway
