/** \file
 * Logs: one JSON object a line on standard output, each with the fixed prefix of its part.
 *
 * A line has the time, the level, the box, the part and a short sentence; a line that tells of a
 * decision has the name of its event and the inputs that decided as well (docs/OPERATIONS.md lists
 * the events). Nothing secret is logged: no key, no text of a chat, no answer. Writing never
 * blocks: a reader that stops reading loses lines, and an event that floods is held back, with a
 * count.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace limereel::kernel {

/** The beginning of \a name, for a line: another writer's may be as long as an object. */
std::string shortName(const std::string &name);

/** Sets the log up; called once, before the first line.
 * \param level error, warn, info or debug. \param box its name, for every line. */
void startLog(const std::string &level, const std::string &box = {});

/** Writes what is still to be written; called once, at the end. */
void stopLog();

/** Bounds how often each event is logged. Pure: time is handed in. */
class LineLimiter
{
public:
    /** \param perSecond lines of one event a second. */
    explicit LineLimiter(std::uint32_t perSecond)
        : perSecond_(perSecond)
    {
    }

    /** The lines of \a event that were held back since the last one; nothing: hold this one back
     * too. */
    std::optional<std::uint64_t> pass(const std::string &event, Instant now);

private:
    struct Window
    {
        Instant begin;
        std::uint32_t passed = 0;
        std::uint64_t held = 0;
    };

    std::uint32_t perSecond_;
    std::map<std::string, Window> events_;
};

/** The log of one part, a small handle. */
class Log
{
public:
    /** \param part the fixed prefix, such as "owner". */
    explicit Log(std::string part)
        : part_(std::move(part))
    {
    }

    void error(const std::string &sentence) const;
    void warn(const std::string &sentence) const;
    void info(const std::string &sentence) const;
    void debug(const std::string &sentence) const;

    /** A decision: its \a event, its inputs and outcome as \a fields, and a sentence for people. */
    void event(const std::string &event, const nlohmann::json &fields,
               const std::string &sentence) const;

private:
    std::string part_;
};

} // namespace limereel::kernel
