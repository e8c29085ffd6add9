/** \file
 * Forwards the body of one attempt's answer to a stream's caller: complete events only, and only
 * those that the caller doesn't have yet.
 */
#pragma once

#include "forward/EventCutter.h"
#include "gateway/RunState.h"

#include <optional>
#include <string>
#include <string_view>

namespace limereel::gateway {

/** Whether the body of an answer with these fields is a stream of events. */
bool isEventStream(const http::Fields &fields);

/** The forwarder of one attempt. */
class EventForwarder
{
public:
    /** \param writer the server that writes the answer. */
    EventForwarder(RunState &run, forward::StreamOrigin writer)
        : run_(run)
        , writer_(std::move(writer))
    {
    }

    void setWriter(forward::StreamOrigin writer) { writer_ = std::move(writer); }

    /** Forwards the events that \a part completes; before the first one the head of \a start.
     * \return false if the caller has disconnected. */
    boost::asio::awaitable<bool> forward(const http::AnswerStart &start, std::string_view part);

    /** Forwards what belongs to no event, at the end of a complete answer. */
    boost::asio::awaitable<bool> forwardRest(const http::AnswerStart &start);

    /** The bound that is passed by what is held of the answer that begins with \a start, or the
     * failure if there is no room for it. A body that isn't a stream of events is held as a
     * whole. */
    std::optional<http::CallFailure> tooLong(const http::AnswerStart &start);

    /** Whether the answer has stopped inside an event. */
    bool insideEvent() const { return cutter_.insideEvent(); }

    /** Whether the caller has received a part of the stream, in this attempt or before it. */
    bool anyEvent() const { return run_.reply.begun() || run_.lastEvent.has_value(); }

private:
    std::string newEvents(std::string_view part);
    boost::asio::awaitable<bool> write(const http::AnswerStart &start, std::string bytes);

    RunState &run_;
    forward::StreamOrigin writer_;
    forward::EventCutter cutter_;
};

} // namespace limereel::gateway
