/** \file
 * Selects the source that one feed of one box asks next: a relay of its hall, or the store.
 *
 * A relay has no authority. One of the first few boxes of the hall starts to follow the store when
 * another box asks it, and stops soon after the last request, so boxes with different views of the
 * hall need no agreement. A box whose relay is silent, outdated, partitioned or dead asks the next
 * relay and finally the store. Its retry pauses keep the store within its rate even if the whole
 * fleet does so at once. This file uses no socket, clock or thread.
 */
#pragma once

#include "store/Backoff.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace limereel::store {

/** The next step of a feed. */
struct FeedStep
{
    enum class Kind : std::uint8_t {
        Store, ///< The store, for the box itself or as a relay.
        Relay, ///< A relay, that is another box.
        Pause  ///< No source may be asked yet.
    };

    Kind kind = Kind::Store;
    std::uint64_t relay = 0; ///< Of a Relay: hash of its name.
    bool proven = false; ///< Of a Relay: the last good answer came from it; it may hold a request.
    bool relaying = false;    ///< Of the Store: this box also reads for other boxes.
    kernel::Duration pause{}; ///< Of a Pause.

    /** Of a Relay: when the store has to be asked instead, answered or not. Empty: no limit. */
    std::optional<kernel::Instant> askUntil;

    bool operator==(const FeedStep &) const = default;
};

/** Pauses and time limits for the choice of a source. */
struct SourcePolicy
{
    /** How long a relay continues to follow the store after the last request from another box. It
     * is several times the hold time of a request, so that one late request doesn't stop and
     * restart the relay. */
    kernel::Duration askedKept = 3s;

    /** First and longest pause until a failed relay is asked again. The pause doubles with each
     * consecutive failure, since each request to a silent relay costs the wait for its timeout. */
    kernel::Duration suspicionFirst = 500ms;
    kernel::Duration suspicionMax = 4s;

    /** Pause after a failed call to the store, for a box that has no relay or is one. */
    kernel::Duration storePauseFirst = 50ms;
    kernel::Duration storePauseMax = 500ms;

    /** The same for a box that relays could serve. With the shorter pauses above, 295 boxes would
     * call a store that is down about 1,000 times a second. */
    kernel::Duration relayedPauseFirst = 2s;
    kernel::Duration relayedPauseMax = 8s;
};

/** Why a relay gave no usable answer. */
enum class RelayFault : std::uint8_t {
    Silent, ///< No connection, no answer, or an unreadable one.
    Lost    ///< It reports that it has lost the store, or its data is too old.
};

/** Selects the sources of one feed and tracks their failures. */
class SourceSelector
{
public:
    explicit SourceSelector(SourcePolicy policy = {});

    /**
     * The step to take at \a now.
     * \param relays the relays of the hall, best first (RelayOrder.h); may contain \a self. Empty:
     * no box relays in this hall.
     * \param storeAllowed whether a box that relays could serve may ask the store itself.
     * \param searchUntil when the store is asked although relays are left (FeedPace.h). It limits
     * the whole search: with a limit for each relay, the time would grow with their number.
     */
    FeedStep next(std::span<const std::uint64_t> relays, std::uint64_t self, kernel::Instant now,
                  bool storeAllowed = true, std::optional<kernel::Instant> searchUntil = {}) const;

    /** The step for data that no relay can supply: the store, or a pause until it may be asked. */
    FeedStep storeStep(kernel::Instant now) const;

    /** Whether this box follows the store for other boxes. */
    bool relaying(std::span<const std::uint64_t> relays, std::uint64_t self,
                  kernel::Instant now) const;

    /** Records that another box has asked this one. */
    void noteAsked(kernel::Instant now) { askedAt_ = now; }

    void noteRelayAnswered(std::uint64_t relay);
    void noteRelayFailed(std::uint64_t relay, RelayFault fault, kernel::Instant now);
    void noteStoreAnswered();

    /** Ends the pause after failed calls: another feed has heard from the store. */
    void endStorePause() { storeRetryAt_ = {}; }

    /** \param servedByRelays whether relays could serve the box, which isn't one itself. */
    void noteStoreFailed(bool servedByRelays, kernel::Instant now, std::mt19937_64 &random);

    /** Whether \a self is a relay, or the hall has none. */
    static bool readsStoreDirectly(std::span<const std::uint64_t> relays, std::uint64_t self);

    /** Number of consecutive failed calls to the store. */
    int storeFailures() const { return storeFailures_; }

private:
    struct Suspicion
    {
        int failures = 0;
        kernel::Instant until;
    };

    std::optional<std::uint64_t> firstRelay(std::span<const std::uint64_t> relays,
                                            std::uint64_t self, kernel::Instant now) const;
    FeedStep pauseUntilDue(std::span<const std::uint64_t> relays, std::uint64_t self,
                           kernel::Instant now, bool storeAllowed) const;
    bool storeDue(kernel::Instant now) const { return storeFailures_ == 0 || now >= storeRetryAt_; }

    SourcePolicy policy_;
    Backoff ownPace_;
    Backoff relayedPace_;
    int storeFailures_ = 0;
    kernel::Instant storeRetryAt_; ///< When the store may be asked again.
    std::optional<kernel::Instant> askedAt_;
    std::map<std::uint64_t, Suspicion> suspicions_;
    std::optional<std::uint64_t> provenRelay_; ///< The relay that gave the last good answer.
};

} // namespace limereel::store
