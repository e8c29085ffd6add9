/** \file
 * One attempt of a request through another box: sends it there, forwards the answer to the caller
 * as it arrives, and returns how the attempt ended.
 *
 * The other box admits and runs the request as one of its own. A refusal of its own that says that
 * the request didn't run means just that; if its answer is lost, the request may have run.
 */
#pragma once

#include "forward/AnswerEnding.h"
#include "gateway/DetourService.h"
#include "gateway/EventForwarder.h"

namespace limereel::gateway {

/** One attempt through the box that was chosen. */
class DetourAttempt
{
public:
    DetourAttempt(RunState &run, DetourService &detours, DetourBox box);
    DetourAttempt(const DetourAttempt &) = delete;
    DetourAttempt &operator=(const DetourAttempt &) = delete;

    boost::asio::awaitable<AttemptEnd> run();

private:
    boost::asio::awaitable<AttemptEnd> attempt();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<AttemptEnd> exchange();
    boost::asio::awaitable<AttemptEnd> takeRefusal(const http::AnswerStart &start);
    boost::asio::awaitable<AttemptEnd> forwardWhole(http::AnswerStart start);
    boost::asio::awaitable<AttemptEnd> forwardStream(http::AnswerStart start);
    void returnConnection(const http::AnswerStart &start);
    AttemptEnd fail(AttemptEnd end, const std::string &why);
    AttemptEnd failForOtherConfiguration();
    AttemptEnd note(AttemptEnd end, const char *result, const std::string &why);

    RunState &run_;
    DetourService &detours_;
    const DetourBox box_;
    http::KeptConnection::Ptr connection_;
    EventForwarder events_;
};

} // namespace limereel::gateway
