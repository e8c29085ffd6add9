/** \file
 * One attempt of a chat request on one engine: sends the request, checks every frame of the answer,
 * resumes a stream that broke, and cancels the request when the caller has disconnected.
 *
 * Frames that pass the check are delivered one by one. An attempt that fails reports at which point
 * it failed; one whose answer is complete reports none.
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

/** The request that is sent to the engine. */
struct EngineRequest
{
    std::string request;  ///< Unique for each attempt; the engine echoes it in each frame.
    std::string body;     ///< JSON as the caller sent it, except that streaming is always on.
    std::string cacheKey; ///< Key of the engine's prefix cache; organisations never share one.
    int priority = 0;
};

/** The result of the attempt. */
struct ChatOutcome
{
    std::optional<outcome::FailurePoint> failure; ///< Empty if the answer is complete.
    bool leaving = false;                         ///< The engine refused because it is leaving.
    http::RetryAfter backoff; ///< The Retry-After advice of the engine's refusal, if any.
    bool callerLeft = false;
    std::string message;
    std::size_t frames = 0;
    std::uint32_t cachedTokens = 0; ///< Prompt tokens that the engine found in its prefix cache.
    std::string endReason;
};

/** Callbacks that deliver the answer to the caller. */
struct FrameSink
{
    std::function<void(const answer::Frame &frame)> deliver; ///< Takes the next frame, in order.
    std::function<boost::asio::awaitable<bool>()>
            flush; ///< Sends the delivered frames; false if the caller has disconnected.
    std::function<bool()> disconnected; ///< Whether the caller is known to have disconnected.
};

/** Runs \a engineRequest on \a engine. Frames that arrived in one read are flushed together. */
boost::asio::awaitable<ChatOutcome> runChat(Context &context, store::ListedBackend engine,
                                            EngineRequest engineRequest, FrameSink sink);

} // namespace limereel::services
