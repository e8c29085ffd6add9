#include "support/HeldServer.h"

#include <boost/asio.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace limereel::support {

namespace asio = boost::asio;
using asio::ip::tcp;

HeldServer::HeldServer()
    : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , socket_(io_)
{
    acceptor_.non_blocking(true);
}

kernel::Endpoint HeldServer::where() const
{
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

bool HeldServer::asked()
{
    boost::system::error_code none;
    if (!socket_.is_open()) {
        acceptor_.accept(socket_, none);
    }
    if (socket_.is_open() && socket_.available() > 0) {
        std::string bytes(socket_.available(), '\0');
        asio::read(socket_, asio::buffer(bytes));
        received_ += bytes;
    }
    return received_.find("\r\n\r\n") != std::string::npos;
}

void HeldServer::send(const std::string &bytes)
{
    asio::write(socket_, asio::buffer(bytes));
    int unacknowledged = 1;
    while (unacknowledged > 0) {
        ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged);
    }
}

void HeldServer::sendSome(std::string &bytes)
{
    boost::system::error_code noRoom;
    socket_.non_blocking(true);
    bytes.erase(0, socket_.write_some(asio::buffer(bytes), noRoom));
    socket_.non_blocking(false);
}

void HeldServer::sendIfOpen(const std::string &bytes)
{
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
}

std::string wholeAnswer(const std::string &status, const std::string &fields,
                        const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

} // namespace limereel::support
