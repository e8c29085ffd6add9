/** \file
 * Chooses the engine for a chat's next turn, as the owner of the chat's first candidate sees it.
 *
 * A warm chat, whose prefix is held by an engine, goes to that engine while it is below the bound.
 * A cold chat goes to its first candidate while that one's load is at most the mean; otherwise to
 * the least loaded of the first few candidates, where the bound will not move it away again on its
 * next turn. When all of these are full, the least loaded engines of the whole pool follow, as in
 * bounded-load hashing: with c above 1, at least one engine is below the bound. The measurements
 * are in docs/design/routing.md.
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

/** An engine to request a permit for, and why it was chosen. */
struct Choice
{
    std::uint64_t engine = 0;
    Reason reason = Reason::First;

    auto operator<=>(const Choice &) const = default;
};

/** The state of the pool as one box sees it. */
struct PoolView
{
    std::uint64_t inFlight = 0; ///< On all engines of the pool in the hall.
    std::uint64_t engines = 0;  ///< Engines of the pool in the hall.
    std::uint32_t bound = 1;    ///< loadBound() of the two values above with the pool's c.
};

/** The first \a count engines of \a pool for \a chat, best first; the same on every router. */
std::vector<Candidate> candidatesFor(kernel::ChatKey chat, std::span<const Candidate> pool,
                                     std::size_t count);

/**
 * The engines to request a permit for on behalf of a chat, best first, each once.
 * \param candidates result of candidatesFor(), not empty.
 * \param holder the engine that served the chat last, if any. It needn't be among the candidates,
 * but counts only if \a pool has it under the same incarnation.
 */
std::vector<Choice> placeChat(std::span<const Candidate> candidates,
                              const std::optional<Holder> &holder, std::span<const Candidate> pool,
                              const PoolView &view);

/**
 * At most \a most engines of \a order, a result of placeChat(), to request permits for. The last
 * candidates are dropped first. The engines of the whole pool are kept, as they ensure that an
 * engine below the bound is tried.
 */
std::vector<Choice> shortlist(std::vector<Choice> order, std::size_t most);

} // namespace limereel::routing
