/** \file
 * Which engine a chat's next turn should run on, as the owner of the chat's first candidate sees
 * it.
 *
 * A warm chat goes to the engine that holds its prefix while that one is within the bound. A cold
 * chat stays on its first candidate while that is no busier than the mean; else it goes to the
 * least loaded of the first few, where the bound will not push it away again on its next turn. When
 * all of these are full the least loaded ones of the whole pool follow, as in bounded-load hashing:
 * with c above 1 one of them has room. The measure behind it is in docs/design/routing.md.
 */
#pragma once

#include "kernel/decisions/Name.h"
#include "routing/ChatIndex.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace limereel::routing {

/** One engine that could serve the chat. */
struct Candidate
{
    std::uint64_t engine = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t inFlight = 0; ///< As of the owner's last heartbeat.

    auto operator<=>(const Candidate &) const = default;
};

/** Why an engine was chosen. */
enum class Reason : std::uint8_t { Holder, First, LeastLoaded, Spilled };

/** The name of \a reason for logs and counters. */
const char *text(Reason reason);

/** One engine to ask, and why. */
struct Choice
{
    std::uint64_t engine = 0;
    Reason reason = Reason::First;

    auto operator<=>(const Choice &) const = default;
};

/** The state of the pool as one box sees it. */
struct PoolView
{
    std::uint64_t inFlight = 0; ///< Over all the pool's engines of the hall.
    std::uint64_t engines = 0;  ///< Engines of the pool in the hall.
    std::uint32_t bound = 1;    ///< loadBound() of the two with the pool's c.
};

/** The first \a count engines of \a pool for \a chat, best first; the same on every router. */
std::vector<Candidate> candidatesFor(kernel::ChatKey chat, std::span<const Candidate> pool,
                                     std::size_t count);

/**
 * The engines to ask for \a chat, best first, each once.
 * \param candidates as of candidatesFor(), not empty.
 * \param holder the engine that served the chat last, if any; it needn't be among the candidates,
 * but must be in \a pool under the same incarnation to count.
 */
std::vector<Choice> placeChat(std::span<const Candidate> candidates,
                              const std::optional<Holder> &holder, std::span<const Candidate> pool,
                              const PoolView &view);

/**
 * The \a most engines of \a order, as of placeChat(), that are worth an ask. The last candidates
 * go first: those of the whole pool stand for the promise that one engine has room.
 */
std::vector<Choice> shortlist(std::vector<Choice> order, std::size_t most);

} // namespace limereel::routing
