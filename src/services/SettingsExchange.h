/** \file
 * Transfers settings between boxes. A box that sees in a heartbeat that another box has a newer
 * revision asks it for the updates since its own revision, and gets those or the whole tree.
 *
 * A tree may have up to a megabyte and must arrive whole, so this uses nng's request/reply protocol
 * over TCP, at the same port number as the datagrams. nng runs its own threads; whatever it
 * delivers is posted to the event loop. Only nng's transport is used, not its discovery or devices.
 */
#pragma once

#include "peer/Envelope.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace limereel::services {

/** Computes the answer to a request of another box. */
using AnswerRequest = std::function<std::string(const std::string &request)>;

/** Answers other boxes' requests and sends requests to them. */
class SettingsExchange
{
public:
    /** Starts listening at the box's peer address; throws std::runtime_error if that fails. */
    SettingsExchange(Context &context, AnswerRequest answer);
    ~SettingsExchange();
    SettingsExchange(const SettingsExchange &) = delete;
    SettingsExchange &operator=(const SettingsExchange &) = delete;

    /** Sends \a request to the box at \a where. \return its answer, or nothing if the box doesn't
     * answer in time. */
    boost::asio::awaitable<std::optional<std::string>> ask(kernel::Endpoint where,
                                                           std::string request);

private:
    struct Listener;

    Context &context_;
    std::shared_ptr<Listener> listener_;
};

} // namespace limereel::services
