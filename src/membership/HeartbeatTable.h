/** \file
 * Which boxes of the hall are live, from heartbeats that each box sends to a few others and that
 * are passed on.
 *
 * Each period a box sends to a few peers, in a random order that reaches everyone in turn: for
 * every box how long ago it gave a sign of life, one byte each, and the states that are news. Ages
 * need no clocks in step, are rounded up at each hop, and so can only make a box look older than it
 * is (gossip-style failure detection: van Renesse, Minsky and Hayden 1998). A state is passed on a
 * bounded number of times and a message has a bounded number of them (the dissemination of SWIM:
 * Das, Gupta and Motivala 2002). So a box's bytes grow by some six a period with each box of its
 * hall, and not with what those own.
 *
 * Boxes that start together know only a few addresses, and three states a message would take them
 * half a minute to know each other. So whoever hears a heartbeat whose ages lack boxes that it
 * knows sends their states back at once (the push-pull of epidemic algorithms: Demers and others
 * 1987). Once all know all, nothing is sent back.
 *
 * Silence counts only while this box could hear: one that was frozen, or whose event loop was held
 * up, finds the others' heartbeats unread in its socket and doesn't take them for dead.
 *
 * A box without a sign of life is suspected, then dead. One that comes back again and again after
 * its death is damped: it owns nothing for a while, each time longer, so that a flapping box
 * doesn't pull ownership back and forth.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "membership/BoxState.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace limereel::membership {

/** How sure this box is that another one is there. */
enum class Liveness : std::uint8_t { Live, Suspected, Damped, Dead };

/** The settings of the table. */
struct HeartbeatPolicy
{
    kernel::Duration period = 1s;
    std::size_t fanout = 2;           ///< Peers that are sent to in each period.
    std::size_t statesPerMessage = 3; ///< States in one message, the own one included.
    std::size_t passOnTimes = 4;      ///< How often one state is passed on.
    std::uint64_t refreshEvery = 10; ///< Periods after which an unchanged state is told again; with
                                     ///< more boxes than that, as many periods as boxes.
    /** States in one message to one who lacks them: with an address each they stay under an MTU of
     * 1,500 bytes. */
    std::size_t statesPerIntroduction = 24;
    /** Such messages are sent for at least this part of the boxes that are known, so that a fleet
     * that starts knows itself in as many periods whatever its size. With one message each time,
     * 1,000 boxes needed 26 periods and as many more for each further 1,000. */
    std::size_t introductionDivisor = 8;
    kernel::Duration suspectAfter = 8s; ///< At least; longer with many boxes.
    kernel::Duration deadAfter = 14s;   ///< At least; see HeartbeatTable::deadAfter().
    kernel::Duration dampFor = 10s;     ///< First damping; doubled for each further death.
    kernel::Duration dampAtMost = 120s;
    kernel::Duration forgetAfter = 600s; ///< Then a dead box and its damping are dropped.
};

/** One message to send. */
struct HeartbeatMessage
{
    std::uint64_t to = 0;
    std::vector<BoxState> states; ///< The sender's own one first.
    std::vector<BoxAge> ages;
};

/** The table of one box. Pure: time and chance are handed in. */
class HeartbeatTable
{
public:
    HeartbeatTable(HeartbeatPolicy policy, BoxState self);

    /** Replaces the box's own state; the version is set by tick(). */
    void setSelf(BoxState self);
    const BoxState &self() const { return self_; }

    /** The boxes the platform lists for the hall. One that is heard of but not listed counts too.
     */
    void setListed(const std::vector<std::uint64_t> &boxes, kernel::Instant now);

    /** Takes in what came from a peer, whose own state is the first. \return how many states were
     * news. */
    std::size_t receive(const std::vector<BoxState> &states, const std::vector<BoxAge> &ages,
                        kernel::Instant now);

    /** What the sender of a heartbeat seems not to know: states of live boxes, the own one first,
     * chosen by chance where they are many. Nothing if it knows all. */
    std::vector<BoxState> introductionFor(const std::vector<BoxState> &states,
                                          const std::vector<BoxAge> &ages, kernel::Instant now,
                                          std::mt19937_64 &random) const;

    /** An introduction in messages that fit into a datagram each, the own state first in all. */
    std::vector<std::vector<BoxState>>
    splitIntoMessages(const std::vector<BoxState> &introduction) const;

    /** Notes that a box didn't answer a direct message; it is suspected until it is heard of again.
     */
    void noteUnreachable(std::uint64_t box, kernel::Instant now);

    /** Starts the next period and says what to send. */
    std::vector<HeartbeatMessage> tick(kernel::Instant now, std::mt19937_64 &random);

    Liveness liveness(std::uint64_t box, kernel::Instant now) const;

    /** The boxes that may own something, this one included, sorted: not leaving, live. */
    std::vector<std::uint64_t> owners(kernel::Instant now) const;

    /** All states that were heard, dead boxes left out. */
    std::vector<BoxState> liveStates(kernel::Instant now) const;

    /** The state of \a box, or nullptr if it was never heard. */
    const BoxState *find(std::uint64_t box) const;

private:
    struct Peer
    {
        BoxState state;
        bool heard = false; ///< Its state is known.
        kernel::Instant lastSign;
        kernel::Duration unheard{}; ///< Time since the last sign in which this box stood still.
        kernel::Instant returned;   ///< From its last death.
        kernel::Instant dampedUntil;
        std::size_t deaths = 0;
        bool deathCounted = false;
        bool unreachable = false;
        std::size_t passedOn = 0;
    };

    /** Silences with as many boxes as are known. */
    struct Bounds
    {
        kernel::Duration suspected;
        kernel::Duration dead;
    };

    Liveness liveness(const Peer &entry, const Bounds &bounds, kernel::Instant now) const;
    kernel::Duration silence(const Peer &entry, kernel::Instant now) const;
    kernel::Duration standstill(const Peer &entry, kernel::Instant now) const;
    void noteAwake(kernel::Instant now);
    Peer &peer(std::uint64_t box, kernel::Instant now);
    bool takeState(const BoxState &state, kernel::Instant now);
    void takeSign(Peer &peer, kernel::Instant sign, kernel::Duration dead,
                  kernel::Instant now) const;
    void noteReturn(Peer &peer, kernel::Instant now) const;
    void countDeaths(kernel::Instant now);
    void renewSelf();
    kernel::Duration suspectAfter() const;
    kernel::Duration deadAfter() const;
    Bounds bounds() const { return {suspectAfter(), deadAfter()}; }
    void addNewcomers(std::mt19937_64 &random);
    std::vector<std::uint64_t> targets(std::mt19937_64 &random);
    std::optional<std::uint64_t> neighbourInTurn(std::mt19937_64 &random);
    std::vector<BoxState> statesFor(std::uint64_t target);
    std::vector<BoxAge> ages(kernel::Instant now) const;

    HeartbeatPolicy policy_;
    BoxState self_;
    BoxState told_;                          ///< The own state as it was last given a version.
    std::uint64_t sinceTold_ = 0;            ///< Periods since then.
    std::optional<kernel::Instant> awakeAt_; ///< When the box last ticked or heard something.
    kernel::Instant stoodStillUntil_;        ///< End of its last standstill.
    std::map<std::uint64_t, Peer> peers_;
    std::vector<std::uint64_t> round_;      ///< Peers not yet sent to in this round.
    std::vector<std::uint64_t> newcomers_;  ///< Peers met since the last period, not yet in it.
    std::vector<std::uint64_t> neighbours_; ///< Peers of the own hall not yet sent to in a round.
};

} // namespace limereel::membership
