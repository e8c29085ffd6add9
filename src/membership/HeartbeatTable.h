/** \file
 * Detects which boxes of the hall are live, by heartbeats that each box sends to a few others and
 * that are passed on.
 *
 * In each period a box sends a message to a few peers, in a random order that reaches every peer in
 * turn. The message holds the age of every box, which is the time since that box was last heard
 * from, in one byte each, and the states that are new. Ages need no synchronised clocks. They are
 * rounded up at each hop, so a box can only seem to be silent for longer than it has been
 * (gossip-style failure detection: van Renesse, Minsky and Hayden 1998). A state is passed on a
 * bounded number of times, and a message holds a bounded number of states (the dissemination of
 * SWIM: Das, Gupta and Motivala 2002). So the traffic of a box grows by about six bytes per period
 * with each box of its hall, and not with the backend servers that those boxes own.
 *
 * Boxes that start together know only a few addresses, and with three states per message they would
 * need half a minute to know each other. So a box that receives a heartbeat whose ages lack boxes
 * that it knows sends the states of those back at once, as an introduction (the push-pull of
 * epidemic algorithms: Demers and others 1987). Once all boxes know each other, no introductions
 * are sent.
 *
 * Silence counts only while this box could receive: a box that was stalled, that is frozen as a
 * process or held up in its event loop, has the heartbeats of the others unread in its socket and
 * must not take them for dead.
 *
 * A box that isn't heard from is suspected, and later dead. One that returns repeatedly after it
 * was dead is damped: it owns nothing for a while, each time longer, so that a flapping box doesn't
 * move ownership back and forth.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "membership/BoxState.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace limereel::membership {

/** The state of another box as this box sees it. */
enum class Liveness : std::uint8_t { Live, Suspected, Damped, Dead };

/** The settings of the table. */
struct HeartbeatPolicy
{
    kernel::Duration period = 1s;
    std::size_t fanout = 2;           ///< Number of peers that get a message in each period.
    std::size_t statesPerMessage = 3; ///< States in one message, including the sender's own.
    std::size_t passOnTimes = 4;      ///< How often one state is passed on.
    std::uint64_t refreshEvery = 10; ///< Periods after which an unchanged state is sent again; with
                                     ///< more boxes than that, as many periods as boxes.
    /**
     * States in one introduction message. With an address in each, they stay below an MTU of 1,500
     * bytes.
     */
    std::size_t statesPerIntroduction = 24;
    /**
     * An introduction may hold the number of known boxes divided by this, if that is more than fits
     * into one message. So the boxes of a starting fleet know each other after about the same
     * number of periods whatever its size. With one message per introduction, 1,000 boxes needed 26
     * periods, and as many more for each further 1,000.
     */
    std::size_t introductionDivisor = 8;
    kernel::Duration suspectAfter = 8s; ///< Minimum silence; longer with many boxes.
    kernel::Duration deadAfter = 14s;   ///< Minimum silence; see HeartbeatTable::deadAfter().
    /** How long a box that didn't answer owns nothing, as far as this one is concerned. The others
     * still ask it, so two boxes own the same resources meanwhile. */
    kernel::Duration unreachableFor = 2s;
    kernel::Duration dampFor = 10s; ///< First damping; doubled with each further death.
    kernel::Duration dampAtMost = 120s;
    kernel::Duration forgetAfter = 600s; ///< A dead box and its damping are dropped then.
};

/** One message to send. */
struct HeartbeatMessage
{
    std::uint64_t to = 0;
    std::vector<BoxState> states; ///< The sender's own state first.
    std::vector<BoxAge> ages;
};

/** The heartbeat table of one box. Time and randomness are passed in. */
class HeartbeatTable
{
public:
    HeartbeatTable(HeartbeatPolicy policy, BoxState self);

    /** Replaces the box's own state; the version is set by tick(). */
    void setSelf(BoxState self);
    const BoxState &self() const { return self_; }

    /**
     * Sets the boxes that the platform lists for the hall. A box that is heard from but not listed
     * counts too.
     */
    void setListed(const std::vector<std::uint64_t> &boxes, kernel::Instant now);

    /**
     * Takes a message of a peer, whose own state is the first one. \return how many states were
     * new.
     */
    std::size_t receive(const std::vector<BoxState> &states, const std::vector<BoxAge> &ages,
                        kernel::Instant now);

    /**
     * States of live boxes that the sender of a heartbeat seems not to know, the own state first; a
     * random selection where they are many. Empty if the sender knows all.
     */
    std::vector<BoxState> introductionFor(const std::vector<BoxState> &states,
                                          const std::vector<BoxAge> &ages, kernel::Instant now,
                                          std::mt19937_64 &random) const;

    /**
     * Splits an introduction into messages that fit into a datagram each, the own state first in
     * each.
     */
    std::vector<std::vector<BoxState>>
    splitIntoMessages(const std::vector<BoxState> &introduction) const;

    /**
     * Notes that a box didn't answer a direct message; it is suspected for a short time, unless its
     * own heartbeat comes first.
     */
    void noteUnreachable(std::uint64_t box, kernel::Instant now);

    /** Starts the next period. \return the messages to send. */
    std::vector<HeartbeatMessage> tick(kernel::Instant now, std::mt19937_64 &random);

    Liveness liveness(std::uint64_t box, kernel::Instant now) const;

    /**
     * The boxes that may own resources: those that are live and not leaving, this one included,
     * sorted.
     */
    std::vector<std::uint64_t> owners(kernel::Instant now) const;

    /** The own state, and all states received from boxes that are not dead. */
    std::vector<BoxState> liveStates(kernel::Instant now) const;

    /** The state of \a box, or nullptr if none was received. */
    const BoxState *find(std::uint64_t box) const;

private:
    struct Peer
    {
        BoxState state;
        bool heard = false; ///< Whether its state was received.
        kernel::Instant lastHeard;
        kernel::Duration stallTime{}; ///< Time since lastHeard in which this box was stalled.
        kernel::Instant returned;     ///< When it was last heard from again after it was dead.
        kernel::Instant dampedUntil;
        std::size_t deaths = 0;
        bool deathCounted = false;
        kernel::Instant unreachableUntil; ///< Until then it isn't asked for anything.
        std::size_t passedOn = 0;
    };

    /** Silence after which a box is suspected or dead, for the number of boxes known. */
    struct Bounds
    {
        kernel::Duration suspected;
        kernel::Duration dead;
    };

    Liveness liveness(const Peer &entry, const Bounds &bounds, kernel::Instant now) const;
    kernel::Duration silence(const Peer &entry, kernel::Instant now) const;
    kernel::Duration currentStall(const Peer &entry, kernel::Instant now) const;
    void noteActive(kernel::Instant now);
    Peer &peer(std::uint64_t box, kernel::Instant now);
    bool mergeState(const BoxState &state, kernel::Instant now);
    void mergeLastHeard(Peer &peer, kernel::Instant heardAt, kernel::Duration dead,
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
    BoxState published_;                        ///< The own state when it last got a new version.
    std::uint64_t periodsSincePublished_ = 0;   ///< Periods since then.
    std::optional<kernel::Instant> lastActive_; ///< When this box last ticked or received.
    kernel::Instant stalledUntil_;              ///< End of this box's last stall.
    std::map<std::uint64_t, Peer> peers_;
    std::vector<std::uint64_t> round_;      ///< Peers not yet sent to in this round.
    std::vector<std::uint64_t> newcomers_;  ///< Peers met since the last period, not in round_ yet.
    std::vector<std::uint64_t> neighbours_; ///< Peers of the own hall not yet sent to in a round.
};

} // namespace limereel::membership
