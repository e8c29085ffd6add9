#include "gateway/EventForwarder.h"

#include "gateway/DetourService.h"

#include <boost/algorithm/string/predicate.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

bool isEventStream(const http::Fields &fields)
{
    constexpr std::string_view EventStream = "text/event-stream";
    const std::string_view type = fields.get("Content-Type");
    const std::string_view coding = fields.get("Content-Encoding");
    return coding.empty() && (type.empty() || boost::algorithm::istarts_with(type, EventStream));
}

std::optional<http::CallFailure> EventForwarder::tooLong(const http::AnswerStart &start)
{
    const bool events = isEventStream(start.fields);
    const http::AnswerBound bound = events ? http::AnswerBound::Event : http::AnswerBound::Body;
    const std::size_t most = events ? http::MaxEventBytes : http::MaxBodyBytes;
    if (cutter_.pendingBytes() <= most) {
        return run_.holdAnswer(cutter_.pendingBytes());
    }
    return http::CallFailure{outcome::FailurePoint::AnswerBegun, false, http::tooLong(bound, most),
                             bound};
}

std::string EventForwarder::newEvents(std::string_view part)
{
    std::string bytes;
    for (forward::RawEvent &event : cutter_.take(part)) {
        // A resumed run may repeat events that the caller already has.
        if (event.id && run_.lastEvent && *event.id <= *run_.lastEvent) {
            continue;
        }
        if (event.id) {
            run_.lastEvent = event.id;
        }
        run_.passedUnnumbered = run_.passedUnnumbered || (event.hasData && !event.id);
        bytes += event.bytes;
    }
    return bytes;
}

asio::awaitable<bool> EventForwarder::forward(const http::AnswerStart &start, std::string_view part)
{
    std::string bytes = newEvents(part);
    if (bytes.empty()) {
        co_return true;
    }
    co_return co_await write(start, std::move(bytes));
}

asio::awaitable<bool> EventForwarder::forwardRest(const http::AnswerStart &start)
{
    co_return co_await write(start, cutter_.takeRest());
}

asio::awaitable<bool> EventForwarder::write(const http::AnswerStart &start, std::string bytes)
{
    // A head alone binds the stream to nobody: its caller has nothing that another server's events
    // wouldn't fit.
    if (!bytes.empty()) {
        run_.noteBytes(writer_);
    }
    if (!run_.reply.begun()) {
        http::Fields fields = serverFields(run_, start.fields);
        if (run_.forOtherBox) {
            fields = fields.without(DetourOrigin);
        }
        if (run_.forOtherBox && run_.origin) {
            fields.add(DetourOrigin, text(*run_.origin));
        }
        const bool begun = co_await run_.reply.begin(start.status, std::move(fields));
        if (!begun) {
            co_return false;
        }
    }
    co_return co_await run_.reply.write(bytes);
}

} // namespace limereel::gateway
