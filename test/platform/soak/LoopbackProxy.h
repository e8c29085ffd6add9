/** \file
 * A proxy of the loopback address that harms the connections that pass through it: delays, resets,
 * cuts in one direction, silence. Faults come from outside the programs that are tested.
 */
#pragma once

#include "kernel/BoxSettings.h"
#include "kernel/decisions/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace limereel::soak {

/** What a proxy does to its connections, old and new. */
enum class Harm : std::uint8_t {
    None,
    Delay,       ///< Bytes wait.
    Reset,       ///< Connections are reset, new ones too.
    CutToServer, ///< What the client sends is swallowed.
    CutToClient, ///< What the server sends is swallowed.
    Silent       ///< Both.
};

/** The name of \a harm for the list of faults. */
const char *text(Harm harm);

/** One proxy in front of one server. */
class LoopbackProxy
{
public:
    LoopbackProxy(boost::asio::io_context &io, const kernel::Endpoint &where,
                  const kernel::Endpoint &server);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** Replaces the harm. Bytes that were swallowed stay lost: after a cut the connections that it
     * met are reset, as a half of their bytes would be no stream any more. */
    void setHarm(Harm harm);
    Harm harm() const { return state_->harm; }

    /** Ends as the server's process has: nothing listens any more, connections are reset. */
    void close();
    const kernel::Endpoint &where() const { return where_; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Link
    {
        Socket client;
        Socket server;
        bool swallowed = false;
    };

    using LinkPtr = std::shared_ptr<Link>;

    struct State
    {
        Harm harm = Harm::None;
        std::list<std::weak_ptr<Link>> links;
        bool open = true;
    };

    using StatePtr = std::shared_ptr<State>;

    static boost::asio::awaitable<void> accept(boost::asio::io_context &io,
                                               std::shared_ptr<boost::asio::ip::tcp::acceptor> from,
                                               boost::asio::ip::tcp::endpoint server,
                                               StatePtr state);
    static boost::asio::awaitable<void> open(boost::asio::io_context &io, LinkPtr link,
                                             boost::asio::ip::tcp::endpoint server, StatePtr state);
    static boost::asio::awaitable<void> pump(boost::asio::io_context &io, LinkPtr link,
                                             bool toServer, StatePtr state);

    kernel::Endpoint where_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    StatePtr state_ = std::make_shared<State>();
};

} // namespace limereel::soak
