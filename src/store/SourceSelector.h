/** \file
 * Where one feed of one box asks next: a relay of its hall, or the store itself.
 *
 * A relay is no authority. Being asked makes one of the first few boxes follow the store, and it
 * stops soon after the last ask, so boxes whose views differ need no agreement. A box whose relay
 * is silent, older than it should be, cut off or gone asks the next one, and at last the store, at
 * a pace that leaves the store's rate whole when a whole fleet does so at once. Nothing here has a
 * socket, a clock or a thread.
 */
#pragma once

#include "store/Backoff.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace limereel::store {

/** Where a feed asks next. */
struct FeedStep
{
    enum class Kind : std::uint8_t {
        Store, ///< The store, for the box itself or as a relay.
        Relay, ///< Another box.
        Pause  ///< Nothing can be asked yet.
    };

    Kind kind = Kind::Store;
    std::uint64_t relay = 0; ///< Of a Relay.
    bool proven = false;     ///< The relay's last answer to this feed was good: it may hold an ask.
    bool relaying = false;   ///< Of the Store: others hear through this box.
    kernel::Duration pause{}; ///< Of a Pause.

    bool operator==(const FeedStep &) const = default;
};

/** The pace of changes from one source to another. */
struct SourcePolicy
{
    /** How long after the last ask a box goes on to follow the store for others: some holds of an
     * ask, so that one late ask doesn't turn it off and on. */
    kernel::Duration askedKept = 3s;

    /** A relay that failed is looked at again after this; doubled for each failure in a row, as
     * each look at a silent one costs the wait for its answer. */
    kernel::Duration suspicionFirst = 500ms;
    kernel::Duration suspicionMax = 4s;

    /** Pause after a failed call to the store, of a box that has no relay or is one. */
    kernel::Duration storePauseFirst = 50ms;
    kernel::Duration storePauseMax = 500ms;

    /** The same of a box that others could serve: 295 boxes at the pace above ask a store that is
     * down some 1,000 times a second. */
    kernel::Duration relayedPauseFirst = 2s;
    kernel::Duration relayedPauseMax = 8s;
};

/** Why a relay gave nothing of use. */
enum class RelayFault : std::uint8_t {
    Silent, ///< No answer, no connection, or none that can be read.
    Lost    ///< It says that it has lost the store, or what it has is too old.
};

/** The state of one feed. */
class SourceSelector
{
public:
    explicit SourceSelector(SourcePolicy policy = {});

    /**
     * Where to ask at \a now.
     * \param relays the boxes to ask, best first (RelayOrder.h); may name \a self. Empty: nobody
     * relays in this hall.
     * \param storeAllowed whether a box that others could serve may ask the store by itself.
     */
    FeedStep next(std::span<const std::uint64_t> relays, std::uint64_t self, kernel::Instant now,
                  bool storeAllowed = true) const;

    /** The store as soon as it may be asked again, for what no relay can tell. */
    FeedStep storeStep(kernel::Instant now) const;

    /** Whether this box follows the store for others. */
    bool relaying(std::span<const std::uint64_t> relays, std::uint64_t self,
                  kernel::Instant now) const;

    /** Another box has asked this one. */
    void noteAsked(kernel::Instant now) { askedAt_ = now; }

    void noteRelayAnswered(std::uint64_t relay);
    void noteRelayFailed(std::uint64_t relay, RelayFault fault, kernel::Instant now);
    void noteStoreAnswered();

    /** \param spare whether the box isn't itself one of those to ask. */
    void noteStoreFailed(bool spare, kernel::Instant now, std::mt19937_64 &random);

    /** Whether \a self is one of those to ask, or nobody relays. */
    static bool readsStoreDirectly(std::span<const std::uint64_t> relays, std::uint64_t self);

    /** Failed calls to the store in a row. */
    int storeFailures() const { return storeFailures_; }

private:
    struct Doubt
    {
        int failures = 0;
        kernel::Instant until;
    };

    std::optional<std::uint64_t> firstRelay(std::span<const std::uint64_t> relays,
                                            std::uint64_t self, kernel::Instant now) const;
    FeedStep pauseUntilDue(std::span<const std::uint64_t> relays, std::uint64_t self,
                           kernel::Instant now, bool storeAllowed) const;
    bool storeDue(kernel::Instant now) const { return storeFailures_ == 0 || now >= storeAt_; }

    SourcePolicy policy_;
    Backoff ownPace_;
    Backoff sparePace_;
    int storeFailures_ = 0;
    kernel::Instant storeAt_; ///< The store may be asked again.
    std::optional<kernel::Instant> askedAt_;
    std::map<std::uint64_t, Doubt> doubts_;
    std::optional<std::uint64_t> proven_; ///< The relay whose answer came last.
};

} // namespace limereel::store
