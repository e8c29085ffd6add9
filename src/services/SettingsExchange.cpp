#include "services/SettingsExchange.h"

#include <boost/asio.hpp>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <stdexcept>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

constexpr nng_duration AskTimeoutMilliseconds = 3000;
constexpr std::size_t MaxMessageBytes = 2097152;

std::string urlOf(const kernel::Endpoint &endpoint)
{
    return "tcp://" + kernel::text(endpoint);
}

void check(int result, const std::string &what)
{
    if (result != 0) {
        throw std::runtime_error(what + ": " + nng_strerror(result));
    }
}

std::optional<std::string> openText(nng_msg *message, const std::vector<peer::PeerKey> &keys)
{
    const auto *const bytes = static_cast<const std::uint8_t *>(nng_msg_body(message));
    const auto payload = peer::open(std::span(bytes, nng_msg_len(message)), keys);
    return payload ? std::optional(std::string(payload->begin(), payload->end())) : std::nullopt;
}

nng_msg *sealText(const std::string &text, const peer::PeerKey &key)
{
    const peer::Bytes payload(text.begin(), text.end());
    const peer::Bytes sealed = peer::seal(payload, key);
    nng_msg *message = nullptr;
    if (nng_msg_alloc(&message, 0) != 0) {
        return nullptr;
    }
    nng_msg_append(message, sealed.data(), sealed.size());
    return message;
}

/** The state of one request to another box. Destroyed on the event loop, never in nng's callback.
 */
struct Ask
{
    Ask(asio::io_context &context, std::vector<peer::PeerKey> peerKeys)
        : io(context)
        , keys(std::move(peerKeys))
        , done(context, asio::steady_timer::time_point::max())
    {
    }

    ~Ask()
    {
        if (aio != nullptr) {
            nng_aio_free(aio);
        }
        nng_close(socket);
    }

    asio::io_context &io;
    std::vector<peer::PeerKey> keys;
    asio::steady_timer done;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_aio *aio = nullptr;
    bool sent = false;
    std::optional<std::string> answer;
    std::shared_ptr<Ask> self; ///< Keeps the state alive while nng uses it.
};

// Runs in a thread of nng when a send or a receive completes: after the send it starts the receive,
// after the receive it completes the request.
void onAskEvent(void *argument)
{
    auto *const ask = static_cast<Ask *>(argument);
    const bool failed = nng_aio_result(ask->aio) != 0;
    if (!failed && !ask->sent) {
        ask->sent = true;
        nng_recv_aio(ask->socket, ask->aio);
        return;
    }
    if (failed && !ask->sent) {
        nng_msg_free(nng_aio_get_msg(ask->aio));
    }
    if (!failed) {
        nng_msg *const message = nng_aio_get_msg(ask->aio);
        ask->answer = openText(message, ask->keys);
        nng_msg_free(message);
    }
    asio::post(ask->io, [held = std::move(ask->self)] { held->done.cancel(); });
}

} // namespace

struct SettingsExchange::Listener : std::enable_shared_from_this<Listener>
{
    Listener(Context &context, AnswerRequest answerRequest)
        : io(context.io)
        , keys(peer::peerKeysFrom(context.settings.peerKeys))
        , answer(std::move(answerRequest))
    {
    }

    ~Listener()
    {
        nng_close(socket);
        nng_aio_free(aio);
    }

    void open(const kernel::Endpoint &where)
    {
        check(nng_rep0_open(&socket), "the settings exchange can't open its socket");
        check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes),
              "the settings exchange");
        check(nng_aio_alloc(&aio, &Listener::onEvent, this), "the settings exchange");
        check(nng_listen(socket, urlOf(where).c_str(), nullptr, 0),
              "the settings exchange can't listen at " + kernel::text(where));
        nng_recv_aio(socket, aio);
    }

    // Runs in a thread of nng. Requests are handled one at a time and answered on the event loop.
    static void onEvent(void *argument)
    {
        auto *const listener = static_cast<Listener *>(argument);
        if (nng_aio_result(listener->aio) != 0) {
            return;
        }
        if (listener->answering) {
            listener->answering = false;
            nng_recv_aio(listener->socket, listener->aio);
            return;
        }
        nng_msg *const message = nng_aio_get_msg(listener->aio);
        const auto request = openText(message, listener->keys);
        nng_msg_free(message);
        if (!request) {
            nng_recv_aio(listener->socket, listener->aio);
            return;
        }
        asio::post(listener->io, [weak = listener->weak_from_this(), request = *request] {
            if (const auto alive = weak.lock()) {
                alive->reply(alive->answer(request));
            }
        });
    }

    void reply(const std::string &text)
    {
        answering = true;
        nng_aio_set_msg(aio, sealText(text, keys.front()));
        nng_send_aio(socket, aio);
    }

    asio::io_context &io;
    std::vector<peer::PeerKey> keys;
    AnswerRequest answer;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_aio *aio = nullptr;
    std::atomic<bool> answering = false;
};

SettingsExchange::SettingsExchange(Context &context, AnswerRequest answer)
    : context_(context)
    , listener_(std::make_shared<Listener>(context, std::move(answer)))
{
    listener_->open(context.settings.peer);
}

SettingsExchange::~SettingsExchange() = default;

asio::awaitable<std::optional<std::string>> SettingsExchange::ask(kernel::Endpoint where,
                                                                  std::string request)
{
    const auto ask =
            std::make_shared<Ask>(context_.io, peer::peerKeysFrom(context_.settings.peerKeys));
    const bool ready =
            nng_req0_open(&ask->socket) == 0
            && nng_aio_alloc(&ask->aio, &onAskEvent, ask.get()) == 0
            && nng_socket_set_size(ask->socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes) == 0
            && nng_dial(ask->socket, urlOf(where).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
    if (!ready) {
        co_return std::nullopt;
    }
    nng_aio_set_timeout(ask->aio, AskTimeoutMilliseconds);
    nng_aio_set_msg(ask->aio, sealText(request, ask->keys.front()));
    ask->self = ask;
    nng_send_aio(ask->socket, ask->aio);
    co_await ask->done.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return ask->answer;
}

} // namespace limereel::services
