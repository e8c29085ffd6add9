#include "http/ConnectionReply.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace limereel::http {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

// Errors come back as values: a client that goes away is ordinary.
constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

template <typename Body>
void copyFields(const Fields &fields, bhttp::response<Body> &head)
{
    for (const auto &[name, value] : fields) {
        head.insert(name, value);
    }
}

// Callers that know the limit don't send on a connection that is about to be closed. They count
// from when the answer reached them and need their way to the box, so a fifth is kept back. In
// whole seconds; shorter limits can't be told.
std::chrono::seconds restToTell(kernel::Duration limit)
{
    return std::chrono::duration_cast<std::chrono::seconds>(limit * 4 / 5);
}

} // namespace

ConnectionReply::ConnectionReply(const ReplyWay &way, const ReplyForm &form)
    : way_(way)
    , form_(form)
    , watch_(std::make_shared<Watch>())
{
}

ConnectionReply::~ConnectionReply()
{
    watch_->gone = nullptr;
}

template <typename Response>
void ConnectionReply::keepOpen(Response &response)
{
    keptOpen_ = form_.keepAlive && !way_.closing;
    response.keep_alive(keptOpen_);
    const std::chrono::seconds told = restToTell(way_.limits.idleTimeout);
    if (!keptOpen_ || told == 0s) {
        return;
    }
    response.set(bhttp::field::keep_alive, "timeout=" + std::to_string(told.count()));
    // A field of one connection has to be named here, else it is passed over.
    response.set(bhttp::field::connection, "keep-alive");
    toldRest_ = way_.limits.idleTimeout;
}

asio::awaitable<bool> ConnectionReply::send(Answer answer)
{
    if (!answer.endMarked && !form_.headOnly) {
        co_return co_await sendUnmarked(std::move(answer));
    }
    begun_ = true;
    bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(answer.status),
                                                 form_.version);
    copyFields(answer.fields, response);
    if (!form_.headOnly) {
        response.body() = std::move(answer.body);
    }
    keepOpen(response);
    response.prepare_payload();
    way_.limit.expireAfter(way_.limits.writeTimeout, Awaited::Room);
    const auto [error, bytes] = co_await bhttp::async_write(way_.socket, response, Quiet);
    way_.limit.never();
    whole_ = !error;
    co_return whole_;
}

asio::awaitable<bool> ConnectionReply::sendUnmarked(Answer answer)
{
    begun_ = true;
    bhttp::response<bhttp::empty_body> response(static_cast<bhttp::status>(answer.status),
                                                form_.version);
    copyFields(answer.fields, response);
    response.keep_alive(false);
    bhttp::response_serializer<bhttp::empty_body> serializer(response);
    way_.limit.expireAfter(way_.limits.writeTimeout, Awaited::Room);
    const auto [headError, headBytes] =
            co_await bhttp::async_write_header(way_.socket, serializer, Quiet);
    if (!headError) {
        const auto [error, bytes] =
                co_await asio::async_write(way_.socket, asio::buffer(answer.body), Quiet);
        whole_ = !error;
    }
    way_.limit.never();
    co_return whole_;
}

asio::awaitable<bool> ConnectionReply::begin(int status, Fields fields)
{
    begun_ = true;
    bhttp::response<bhttp::empty_body> response(static_cast<bhttp::status>(status), form_.version);
    copyFields(fields, response);
    // A client of HTTP/1.0 knows no chunks; the end of the connection would look whole to it.
    // It is refused before it gets here.
    response.chunked(true);
    keepOpen(response);
    bhttp::response_serializer<bhttp::empty_body> serializer(response);
    way_.limit.expireAfter(way_.limits.writeTimeout, Awaited::Room);
    const auto [error, bytes] = co_await bhttp::async_write_header(way_.socket, serializer, Quiet);
    way_.limit.never();
    co_return !error;
}

asio::awaitable<bool> ConnectionReply::write(std::string_view part)
{
    if (part.empty()) {
        co_return true;
    }
    way_.limit.expireAfter(way_.limits.writeTimeout, Awaited::Room);
    const auto chunk = bhttp::make_chunk(asio::const_buffer(part.data(), part.size()));
    const auto [error, bytes] = co_await asio::async_write(way_.socket, chunk, Quiet);
    way_.limit.never();
    co_return !error;
}

asio::awaitable<bool> ConnectionReply::finish()
{
    way_.limit.expireAfter(way_.limits.writeTimeout, Awaited::Room);
    const auto [error, bytes] =
            co_await asio::async_write(way_.socket, bhttp::make_chunk_last(), Quiet);
    way_.limit.never();
    whole_ = !error;
    co_return whole_;
}

bool ConnectionReply::clientGone()
{
    const Arrived arrived = arrivedAt(way_.socket.native_handle());
    return arrived == Arrived::End || arrived == Arrived::Broken;
}

void ConnectionReply::watchClient(std::function<void()> gone)
{
    watch_->gone = std::move(gone);
    way_.socket.async_wait(tcp::socket::wait_read,
                           [this, watch = watch_](boost::system::error_code) {
                               if (watch->gone && clientGone()) {
                                   const auto call = std::move(watch->gone);
                                   watch->gone = nullptr;
                                   call();
                               }
                           });
}

} // namespace limereel::http
