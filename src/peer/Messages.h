/** \file
 * The messages between the system's own boxes, as typed values, and their MessagePack form.
 *
 * Each fits one datagram. None needs an order or an answer to be right: heartbeats carry their own
 * order, asks are recognised by their request id, and a lost return is made good by the lease.
 */
#pragma once

#include "forward/CrashTable.h"
#include "forward/StreamTable.h"
#include "membership/BoxState.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace limereel::peer {

/** States of boxes, the sender's own one first, and how long ago each box was heard of. */
struct Heartbeat
{
    std::vector<membership::BoxState> states;
    std::vector<membership::BoxAge> ages;

    auto operator<=>(const Heartbeat &) const = default;
};

/** What a permit is asked for. */
enum class AskKind : std::uint8_t {
    Home,    ///< Where a chat should run: asked of the owner of its first candidate.
    Engine,  ///< A place on one engine.
    Quota,   ///< A place within an organisation's limits.
    Spill,   ///< A place on any engine of the hall of the box that is asked, which holds it for the
             ///< asker.
    Holders, ///< No place: which engines lately got a prompt's shared parts (chat), or else the
             ///< first of them (resource).
    Start    ///< No place, but leave to send a request to a plain backend server that is cold.
};

/** An ask for a permit. */
struct AskPermit
{
    AskKind kind = AskKind::Engine;
    std::uint64_t request = 0;      ///< Unique for each attempt.
    std::uint64_t router = 0;       ///< Who asks.
    std::uint64_t organisation = 0; ///< Hash of its path.
    std::uint64_t resource = 0;     ///< Hash of the engine (Home: of the first candidate).
    std::uint64_t chat = 0;         ///< Key of the chat.
    membership::ShortHash model = 0;
    std::uint32_t load = 0; ///< In flight on the asker's own engines of the model.
    std::uint32_t asks = 1; ///< Engine asks of the asker within the last seconds; boxes of an
                            ///< earlier version don't tell.
    std::vector<std::uint64_t> excluded; ///< Hashes of engines that failed the request already: to
                                         ///< name them again would push out one with room.
    std::uint32_t coldMs = 0;        ///< For so long the asker takes the engine for cold; 0: warm.
    std::uint32_t coldPerSecond = 0; ///< Thousandths of a request a second that it bears then.
    std::uint32_t waitMs = 0;   ///< How long it may wait for a place and still be answered in time.
    std::uint32_t lateMs = 0;   ///< How long beyond that it is still of use.
    std::uint32_t priority = 0; ///< 0 goes first.
    std::uint64_t caller = 0;   ///< Hash of the organisation's name; 0: none.
    std::uint64_t identity = 0; ///< What it has in common with its repetition; 0: unknown.
    std::uint32_t slots = 0;    ///< Of the server; 0: the asker follows the earlier rules.
    std::uint32_t leaseMs = 0;  ///< How long it may hold the place; 0: the owner's default.
    std::uint32_t seen = 0;     ///< Requests that the asker believes to run on the server.

    auto operator<=>(const AskPermit &) const = default;
};

/**
 * What the owner says. Full and Unfair: it works but has no place for this ask. Leaving: it takes
 * no work, since it leaves or can't be reached. Cold: it has just started, and has been sent as
 * many requests as it bears. Queued: it waits at the owner, whose second answer ends the wait; sent
 * only to boxes that said how long the request may wait.
 */
enum class PermitResult : std::uint8_t {
    Granted,
    Redirected,
    Full,
    Unfair,
    Leaving,
    NotOwner,
    Cold,
    Queued
};

/** One engine to use or to ask. */
struct Suggestion
{
    membership::ShortHash engine = 0;
    std::uint8_t reason = 0; ///< A routing::Reason.

    auto operator<=>(const Suggestion &) const = default;
};

/** The answer to an ask. */
struct PermitAnswer
{
    std::uint64_t request = 0;
    PermitResult result = PermitResult::NotOwner;
    std::vector<Suggestion> suggestions; ///< Granted: the engine. Else: whom to ask, best first.
    std::uint32_t comeBackMs = 0;        ///< Of a refusal: when a place should be free.
    std::uint32_t load = 0;              ///< In flight on the owner's engines of the model.
    std::uint32_t waitMs = 0; ///< Expected wait for a place there, for a request like this one.
    std::uint32_t limit = 0;  ///< Places that the owner grants there; 0: unknown.

    auto operator<=>(const PermitAnswer &) const = default;
};

/** What became of the engine's work, as far as its owner should know. */
enum class Observed : std::uint8_t { Served, Unreachable, RefusedLeaving, Unused };

/** The end of a permit. */
struct GiveBack
{
    std::uint64_t request = 0;
    std::uint64_t resource = 0; ///< Hash of the engine or organisation.
    Observed observed = Observed::Served;
    bool rejected = false;     ///< The server rejected the request for lack of room.
    std::uint32_t firstMs = 0; ///< From the send to the answer's first byte; 0: none came.

    auto operator<=>(const GiveBack &) const = default;
};

/** A permit that goes on. */
struct HeldPermit
{
    std::uint64_t request = 0;
    std::uint64_t resource = 0;
    std::uint64_t organisation = 0;

    auto operator<=>(const HeldPermit &) const = default;
};

/** Keeps permits alive, at the present owner of their resources. */
struct Renew
{
    std::uint64_t router = 0;
    std::vector<HeldPermit> permits;

    auto operator<=>(const Renew &) const = default;
};

/** Tells a chat's home where the chat ran, when that is not where the home had sent it. */
struct Placed
{
    std::uint64_t chat = 0;
    std::uint64_t home = 0; ///< Hash of the first candidate.
    membership::ShortHash engine = 0;
    membership::ShortHash model = 0;
    bool passedOn = false; ///< From one home to another; goes no further.

    auto operator<=>(const Placed &) const = default;
};

/** What the owner of a request is told or asked for. */
enum class CrashMatter : std::uint8_t {
    Ended,    ///< A backend server ended under it.
    Answered, ///< It got a whole answer: all is forgotten.
    AskAlone, ///< May it be sent now, alone in the whole fleet?
    AloneOver ///< The send alone is over.
};

/** Tells the owner of a request under which backend servers have ended, or asks it. Boxes of
 * earlier versions drop it. */
struct CrashReport
{
    std::uint64_t ask = 0; ///< Unique; a send alone keeps that of its AskAlone.
    CrashMatter matter = CrashMatter::Ended;
    forward::CrashRecord record; ///< As the sender knows it.
    std::uint32_t forMs = 0;     ///< How long a send alone may take.

    auto operator<=>(const CrashReport &) const = default;
};

/** The owner's answer, or what any box tells others of such requests. Boxes of earlier versions
 * drop it. */
struct CrashWord
{
    std::uint64_t ask = 0;        ///< 0: nobody asked.
    bool granted = false;         ///< It may be sent alone.
    std::uint32_t comeBackMs = 0; ///< Where it isn't granted, as another one is being sent.
    std::vector<forward::CrashRecord> records;

    auto operator<=>(const CrashWord &) const = default;
};

/** Which backend server began a stream. */
struct StreamNote
{
    forward::StreamId id;
    forward::StreamOrigin origin; ///< The version's text isn't sent.
    std::uint32_t leftMs = 0;     ///< For so long its caller may take it up.

    auto operator<=>(const StreamNote &) const = default;
};

/** Tells a box that keeps records of streams. Boxes of earlier versions drop it. */
struct StreamNotes
{
    std::vector<StreamNote> notes;
    bool handedOver = false; ///< By a box that leaves; goes no further.

    auto operator<=>(const StreamNotes &) const = default;
};

/** Asks a box what it knows of a stream. Boxes of earlier versions drop it. */
struct StreamAsk
{
    std::uint64_t ask = 0; ///< Unique.
    bool byAttempt = true; ///< Else by request: the caller hasn't named the attempt.
    forward::Digest name;  ///< Of the attempt, or of the request.

    auto operator<=>(const StreamAsk &) const = default;
};

/** What a box knows of a stream. */
enum class StreamKnown : std::uint8_t { Nothing, Origin, Contradicted };

struct StreamAnswer
{
    std::uint64_t ask = 0;
    StreamKnown known = StreamKnown::Nothing;
    forward::StreamOrigin origin;

    auto operator<=>(const StreamAnswer &) const = default;
};

/** Any message. */
using Message = std::variant<Heartbeat, AskPermit, PermitAnswer, GiveBack, Renew, Placed,
                             CrashReport, CrashWord, StreamNotes, StreamAsk, StreamAnswer>;

using Bytes = std::vector<std::uint8_t>;

/** The MessagePack form of \a message. */
Bytes encode(const Message &message);

/** The message in \a bytes; nothing if there is none. Never throws, whatever the bytes. */
std::optional<Message> decode(std::span<const std::uint8_t> bytes);

} // namespace limereel::peer
