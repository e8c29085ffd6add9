/** \file
 * A caller's request and a backend server's answer as typed values, independent of the protocol
 * dialect.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limereel::forward {

/** A part of a prompt. Requests may share parts; their order matters. */
struct PromptPart
{
    std::uint64_t part = 0; ///< Hash of its id.
    std::uint32_t tokens = 0;
    std::string id = {}; ///< As the caller writes it.

    auto operator<=>(const PromptPart &) const = default;
};

/** A prompt for a model engine. */
struct Prompt
{
    std::string model;
    std::uint32_t tokensIn = 0;
    std::uint32_t tokensOut = 0; ///< Upper bound.
    std::vector<PromptPart> parts;

    auto operator<=>(const Prompt &) const = default;
};

/** What a caller asks for, apart from the bytes that are passed on. */
struct Call
{
    std::string id;
    std::string host;
    std::string key;                          ///< Secret: never logged, never passed on.
    kernel::Duration callerTimeout{};         ///< How long the caller waits; zero: not stated.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has received.
    /** The id of the caller's attempt that brought the first event of the stream that this one
     * takes up; empty: none is named. */
    std::string resumes;
    Prompt prompt;

    auto operator<=>(const Call &) const = default;
};

/** The load that a backend server reports. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slowness = 100; ///< Current processing time, as a percentage of the usual one.

    auto operator<=>(const ReportedLoad &) const = default;
};

/** What the header fields of an answer say. */
struct AnswerHead
{
    int status = 0;
    std::string id;             ///< Id of the request that it answers; empty: not stated.
    bool notRun = false;        ///< The backend server states that it didn't run the request.
    bool wrongInstance = false; ///< Another backend server has the address now.
    bool signedByBackend = false;
    std::optional<ReportedLoad> load;
    bool loadUnreadable = false; ///< It reports its load in a form that can't be parsed.
    /** How long the backend server keeps an idle connection. */
    std::optional<kernel::Duration> keptFor;
    kernel::Duration coldFor{}; ///< How long the backend server is still cold; zero: not stated.
    /** How long the backend server wants no more requests from this box, after it rejected one;
     * nothing: not stated. */
    std::optional<kernel::Duration> backoffFor;
    bool backoffUnreadable = false; ///< It asks for backoff in a form that can't be parsed.
    bool leaving = false;           ///< The backend server is about to shut down.

    auto operator<=>(const AnswerHead &) const = default;
};

} // namespace limereel::forward
