/** \file
 * A caller's request and a backend server's answer as typed values, whatever the dialect that they
 * were spoken in.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limereel::forward {

/** A part of a prompt. Parts are shared between requests; the order counts. */
struct PromptPart
{
    std::uint64_t part = 0; ///< Hash of its id.
    std::uint32_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

/** A prompt for a model engine. */
struct Prompt
{
    std::string model;
    std::uint32_t tokensIn = 0;
    std::uint32_t tokensOut = 0; ///< At most.
    std::vector<PromptPart> parts;

    auto operator<=>(const Prompt &) const = default;
};

/** What a caller asks for, beside the bytes that are passed on. */
struct Call
{
    std::string id;
    std::string host;
    std::string key;                          ///< Secret: never logged, never passed on.
    kernel::Duration callerTimeout{};         ///< How long the caller waits; zero: untold.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has.
    Prompt prompt;

    auto operator<=>(const Call &) const = default;
};

/** How loaded a backend server says that it is. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slowness = 100; ///< How long work takes there now, in hundredths of the usual.

    auto operator<=>(const ReportedLoad &) const = default;
};

/** What the head of an answer says. */
struct AnswerHead
{
    int status = 0;
    std::string id;             ///< Of the request that it answers; empty: untold.
    bool notRun = false;        ///< The backend server says that it didn't run the request.
    bool wrongInstance = false; ///< Another backend server has the address now.
    bool signedByBackend = false;
    std::optional<ReportedLoad> load;
    bool loadUnreadable = false;             ///< It says something of its load that can't be read.
    std::optional<kernel::Duration> keptFor; ///< How long an idle connection is kept.
    kernel::Duration coldFor{}; ///< How long the backend server is still cold; zero: untold.
    /** How long the backend server wants nothing more from this box, as it has turned it away;
     * nothing: it doesn't say. */
    std::optional<kernel::Duration> backoffFor;
    bool backoffUnreadable = false; ///< It says so in a way that can't be read.
    bool leaving = false;           ///< The backend server is about to end.

    auto operator<=>(const AnswerHead &) const = default;
};

} // namespace limereel::forward
