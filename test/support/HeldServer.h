/** \file
 * A server whose every step is made by the test, at once and without an event loop: it answers also
 * while the loop of the program under test stands still.
 */
#pragma once

#include "kernel/BoxSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace limereel::support {

/** The server; it serves one connection. */
class HeldServer
{
public:
    /** Listens on a free port. */
    HeldServer();

    kernel::Endpoint where() const;

    /** Whether a request's head has come; never waits. */
    bool asked();

    /** What has come is done with; asked() is about the next request. */
    void forgetRequest() { received_.clear(); }

    /** Sends \a bytes and waits until the peer's system has them. */
    void send(const std::string &bytes);

    /** Sends as much of \a bytes as there is room for, and takes it off. */
    void sendSome(std::string &bytes);

    /** Sends \a bytes unless the peer has closed the connection. */
    void sendIfOpen(const std::string &bytes);

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

/** A whole answer of \a status with \a fields, each ended by CR LF, and \a body. */
std::string wholeAnswer(const std::string &status, const std::string &fields,
                        const std::string &body);

} // namespace limereel::support
