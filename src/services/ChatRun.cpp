#include "services/ChatRun.h"

#include "answer/EventSplitter.h"
#include "http/Client.h"
#include "services/BackoffService.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using answer::Frame;
using answer::FrameResult;
using nlohmann::json;
using outcome::FailurePoint;

namespace {

constexpr std::size_t MaxEventBytes = 65536;
constexpr std::size_t MaxEarlyFrames = 256;
constexpr kernel::Duration CancelTimeout = 1s;

/** A frame as sent by the engine, with the cached-token count that only the last frame carries. */
struct WireFrame
{
    Frame frame;
    std::uint32_t cachedTokens = 0;
};

std::optional<WireFrame> parseFrame(const std::string &text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        WireFrame wire;
        wire.frame.request = object.at("request").get<std::string>();
        wire.frame.sequence = object.at("sequence").get<std::uint64_t>();
        wire.frame.text = object.value("text", std::string());
        wire.frame.end = object.value("end", false);
        wire.cachedTokens = object.value("cached", 0U);
        return wire;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

/** The state of one attempt. */
class Attempt
{
public:
    Attempt(Context &context, store::ListedBackend engine, EngineRequest engineRequest,
            FrameSink sink)
        : context_(context)
        , engine_(std::move(engine))
        , engineRequest_(std::move(engineRequest))
        , sink_(std::move(sink))
        , check_(engineRequest_.request, MaxEarlyFrames)
    {
    }

    asio::awaitable<ChatOutcome> run()
    {
        const auto endpoint = kernel::endpointFrom(engine_.address);
        if (!endpoint) {
            fail(FailurePoint::BeforeConnect, endpoint.error());
            co_return outcome_;
        }
        endpoint_ = *endpoint;
        co_await startGeneration();
        for (std::uint32_t tries = 0; mayResume() && tries < context_.settings.resumes; ++tries) {
            context_.counters.add("retries", {{"reason", "stream-resumed"}});
            co_await resume();
        }
        if (outcome_.callerLeft) {
            co_await cancel();
        }
        co_return outcome_;
    }

private:
    asio::awaitable<void> startGeneration()
    {
        http::Request request{"POST", "/v1/generate",
                              http::Fields()
                                      .with("Content-Type", "application/json")
                                      .with("X-Request-Id", engineRequest_.request)
                                      .with("X-Cache-Key", engineRequest_.cacheKey)
                                      .with("X-Priority", std::to_string(engineRequest_.priority)),
                              engineRequest_.body};
        auto stream =
                co_await http::Stream::open(context_.io, endpoint_, std::move(request), timeouts());
        if (!stream) {
            fail(stream.error().point, stream.error().message);
            co_return;
        }
        if (stream->status() != 200) {
            takeRefusal(*stream);
            co_return;
        }
        co_await readAll(*stream);
    }

    asio::awaitable<void> resume()
    {
        const std::string target =
                "/v1/generate/" + engineRequest_.request + "?from=" + std::to_string(check_.next());
        auto stream = co_await http::Stream::open(context_.io, endpoint_, {"GET", target, {}, {}},
                                                  timeouts());
        if (!stream || stream->status() != 200) {
            // An engine that can't be reached or no longer knows the request can't resume it.
            unresumable_ =
                    stream.has_value() || stream.error().point == FailurePoint::BeforeConnect;
            co_return;
        }
        co_await readAll(*stream);
    }

    asio::awaitable<void> readAll(http::Stream &stream)
    {
        answer::EventSplitter splitter(MaxEventBytes);
        streamStarted_ = true;
        outcome_.failure.reset();
        while (!check_.whole() && !outcome_.callerLeft && !outcome_.failure) {
            const auto part = co_await stream.read();
            if (!part || part->end) {
                fail(FailurePoint::AnswerBegun,
                     part ? "the engine's stream ended without its end marker"
                          : part.error().message);
                co_return;
            }
            std::vector<std::string> events;
            if (!splitter.take(part->bytes, events)) {
                fail(FailurePoint::AnswerBegun, "the engine sent an event that is too long");
                unresumable_ = true;
                co_return;
            }
            for (const std::string &event : events) {
                takeEvent(event);
            }
            const bool flushed = co_await sink_.flush();
            outcome_.callerLeft = !flushed || sink_.disconnected();
        }
    }

    void takeEvent(const std::string &event)
    {
        auto wire = parseFrame(event);
        if (!wire) {
            fail(FailurePoint::AnswerBegun, "the engine sent a frame that can't be read");
            return;
        }
        outcome_.cachedTokens = std::max(outcome_.cachedTokens, wire->cachedTokens);
        std::vector<Frame> inOrder;
        switch (check_.take(std::move(wire->frame), inOrder)) {
        case FrameResult::Foreign:
            // It is dropped. A frame of this request that is missing shows as a gap in the
            // sequence.
            context_.counters.add("frames_dropped", {{"reason", "foreign"}});
            break;
        case FrameResult::Repeated:
            context_.counters.add("frames_dropped", {{"reason", "repeated"}});
            break;
        case FrameResult::Overflow:
        case FrameResult::Contradiction:
            fail(FailurePoint::AnswerBegun, "the engine's frames contradict each other");
            unresumable_ = true;
            break;
        case FrameResult::Taken:
        case FrameResult::Held:
            break;
        }
        for (const Frame &frame : inOrder) {
            ++outcome_.frames;
            if (frame.end) {
                outcome_.endReason = frame.text;
            }
            sink_.deliver(frame);
        }
    }

    void takeRefusal(const http::Stream &stream)
    {
        const std::string why = stream.field("X-Not-Started");
        outcome_.leaving = why == "leaving";
        outcome_.backoff = requestedBackoff(stream.status(), stream.fields());
        const FailurePoint point =
                why.empty() ? FailurePoint::AnsweredFailure : FailurePoint::RefusedUnstarted;
        fail(point, "the engine answered " + std::to_string(stream.status())
                            + (why.empty() ? "" : ", not started: " + why));
    }

    asio::awaitable<void> cancel()
    {
        context_.counters.add("cancels");
        http::Request request{"DELETE", "/v1/generate/" + engineRequest_.request, {}, {}};
        const http::CallTimeouts shortTimeouts{CancelTimeout, CancelTimeout, CancelTimeout};
        co_await http::call(context_.io, endpoint_, std::move(request), shortTimeouts);
    }

    bool mayResume() const
    {
        const bool broken = outcome_.failure == FailurePoint::AnswerBegun;
        return broken && streamStarted_ && !unresumable_ && !outcome_.callerLeft;
    }

    http::CallTimeouts timeouts() const
    {
        return {.connect = context_.settings.connectTimeout,
                .head = context_.settings.firstTokenTimeout,
                .part = streamStarted_ ? context_.settings.tokenTimeout
                                       : context_.settings.firstTokenTimeout};
    }

    void fail(FailurePoint point, std::string message)
    {
        outcome_.failure = point;
        outcome_.message = std::move(message);
    }

    Context &context_;
    store::ListedBackend engine_;
    EngineRequest engineRequest_;
    FrameSink sink_;
    answer::FrameCheck check_;
    kernel::Endpoint endpoint_;
    ChatOutcome outcome_;
    bool streamStarted_ = false;
    bool unresumable_ = false; ///< Whether the stream can't be resumed.
};

} // namespace

asio::awaitable<ChatOutcome> runChat(Context &context, store::ListedBackend engine,
                                     EngineRequest engineRequest, FrameSink sink)
{
    Attempt attempt(context, std::move(engine), std::move(engineRequest), std::move(sink));
    co_return co_await attempt.run();
}

} // namespace limereel::services
