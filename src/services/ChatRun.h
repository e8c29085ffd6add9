/** \file
 * One attempt of a chat request on one engine: sends it, checks every frame, resumes a stream that
 * broke, cancels the work when the caller has left.
 *
 * What passes the check is handed on frame by frame; what the attempt came to is an outcome::Point,
 * or nothing if the answer is whole.
 */
#pragma once

#include "answer/FrameCheck.h"
#include "http/RetryAfter.h"
#include "outcome/Attempt.h"
#include "services/Context.h"
#include "store/Directory.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace limereel::services {

/** What is sent to the engine. */
struct EngineRequest
{
    std::string request; ///< Unique for each attempt; the engine echoes it in each frame.
    std::string body;    ///< JSON, passed on as the caller sent it but for the streaming flag.
    std::string
            cacheKey; ///< Under which the engine keeps the prefix; never shared by organisations.
    int priority = 0;
};

/** What the attempt came to. */
struct ChatOutcome
{
    std::optional<outcome::Point> failure; ///< Nothing: the answer is whole.
    bool leaving = false;                  ///< The engine refused because it is leaving.
    http::RetryAfter rest;                 ///< What it said of rest as it refused.
    bool callerLeft = false;
    std::string message;
    std::size_t frames = 0;
    std::uint32_t cachedTokens = 0; ///< Of the prompt, as the engine says.
    std::string endReason;
};

/** The way to the caller. */
struct FrameSink
{
    std::function<void(const answer::Frame &frame)> deliver; ///< Takes the next frame, in order.
    std::function<boost::asio::awaitable<bool>()>
            flush;                      ///< Sends on what was taken; false: the caller has left.
    std::function<bool()> disconnected; ///< Whether the caller has left, as far as can be seen.
};

/** Runs \a order on \a engine. Frames that came together are flushed together. */
boost::asio::awaitable<ChatOutcome> runChat(Context &context, store::ListedBackend engine,
                                            EngineRequest order, FrameSink caller);

} // namespace limereel::services
