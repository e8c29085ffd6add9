/** \file
 * Follows all objects of one kind in the store: a list first, then a watch that goes on from it,
 * and a new list whenever the store has forgotten what lay between, or has been away: what is
 * missed then may be many versions of a large object, of which only the newest counts.
 *
 * An outage changes nothing that is known. Each answered watch also confirms that nothing newer had
 * been there when it was asked.
 */
#pragma once

#include "gateway/Adapter.h"
#include "http/KeptConnection.h"
#include "services/Context.h"
#include "services/Repeat.h"
#include "store/Backoff.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limereel::gateway {

/** The pace of one feed. */
struct FeedPace
{
    kernel::Duration wait = 2s; ///< Of one watch, at most.

    /** Longest age that a confirmation may reach before the next one: two watches in a row, with
     * what the store takes to answer, and with the pause between them if the first one brought a
     * change. Zero: no matter. */
    kernel::Duration confirmWithin{};

    /** Longest time until a watch whose store has fallen silent is given up, its wait included.
     * Zero: no matter. */
    kernel::Duration giveUpWithin{};

    kernel::Duration answer = 1s;        ///< Wait for an answer beyond the watch, at least,
    kernel::Duration longestAnswer = 2s; ///< and at most, from a store that has been slow.

    /** Pause after a change, so that changes in quick succession come with one call: the store
     * counts each, and answers all boxes for each change. */
    kernel::Duration afterChange{};

    kernel::Duration firstPause = 50ms;
    kernel::Duration longestPause = 500ms;
};

/** How long a watch may wait at a store that lately took \a latency to answer, if the last
 * confirmation has reached \a age. */
kernel::Duration watchWait(const FeedPace &pace, kernel::Duration latency,
                           kernel::Duration age = {});

/** How long an answer is waited for, beyond the watch, from such a store. */
kernel::Duration answerWait(const FeedPace &pace, kernel::Duration latency);

/** How long a page of a list is waited for after \a failures in a row: longer each time, since a
 * crowd of starting boxes fills the store's link, and what is given up has to be sent again. A box
 * that has \a listed before only looks whether the store is back, and soon asks again. */
kernel::Duration pageWait(const FeedPace &pace, int failures, bool listed);

/** What a feed calls. */
struct FeedHooks
{
    /** All objects there are. */
    std::function<void(const std::vector<store::StoredObject> &)> replaced;

    /** Objects that changed or went. */
    std::function<void(const std::vector<store::StoredObject> &)> changed;

    /** What is known was the newest at \a asOf. */
    std::function<void(kernel::Instant asOf)> confirmed;
};

/** One feed. */
class ObjectFeed
{
public:
    ObjectFeed(services::Context &context, const store::ObjectFormat &format, std::string kind,
               FeedPace pace, FeedHooks hooks);

    /** When the store last failed to answer; nothing if it never did. */
    std::optional<kernel::Instant> lastFailure() const { return lastFailure_; }

    /** Whether something that has arrived isn't taken in yet. To be asked once the loop has had a
     * turn, in which it handles what it has read already. */
    bool behind() const;

    /** How long ago the answer came that the hooks are called for; it may have lain unread. */
    kernel::Duration answerAge() const;

    /** Replaces the pace, from the next call on. */
    void setPace(const FeedPace &pace) { pace_ = pace; }

    /** Asks again at once if the feed waits after a failure. */
    void hurry();

private:
    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<bool> list();
    boost::asio::awaitable<bool> watch();
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> ask(std::string target,
                                                                        kernel::Duration longest);
    boost::asio::awaitable<nlohmann::json> readBody(const std::string &body);
    void confirm(kernel::Instant asOf);
    bool takePage(store::ObjectPage page);
    void noteFailure(const std::string &what);
    void noteAnswer();

    /** A list that is read page by page; kept when the store refuses a page, so that a crowd of
     * starting boxes that it serves in turn all get to the end. */
    struct Listing
    {
        kernel::Instant begun;
        std::uint64_t at = 0; ///< The watch goes on from the first page.
        std::vector<store::StoredObject> objects;
    };

    services::Context &context_;
    const store::ObjectFormat &format_;
    std::string kind_;
    FeedPace pace_;
    FeedHooks hooks_;
    store::Backoff backoff_;
    http::KeptConnection::Ptr connection_;
    std::optional<Listing> listing_;
    std::optional<std::uint64_t> at_; ///< Where the next watch goes on; nothing: list first.
    std::optional<kernel::Instant> lastFailure_;
    std::optional<kernel::Instant> confirmedAsOf_;
    bool changed_ = false;       ///< The last watch brought changes.
    bool taking_ = false;        ///< An answer is whole and isn't taken in yet.
    kernel::Duration latency_{}; ///< Of the store's last answer, waits taken off.
    bool failing_ = false;
    std::unique_ptr<services::Repeat> loop_;
};

} // namespace limereel::gateway
