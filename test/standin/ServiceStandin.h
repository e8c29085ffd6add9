/** \file
 * A small stand-in for a plain service, as docs/interfaces/service.md describes it. It counts what
 * ran.
 */
#pragma once

#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace limereel::standin {

/** Faults, each as many times as its number says. */
struct ServiceFaults
{
    int refuse = 0;         ///< 503, not started.
    std::string restAsked;  ///< The Retry-After of such a refusal; empty: none.
    int dropBeforeRun = 0;  ///< Reads the call, closes, doesn't run it.
    int dropAfterRun = 0;   ///< Runs it, closes without an answer.
    int cutAnswer = 0;      ///< Runs it, sends half of an answer.
    int unmarkedAnswer = 0; ///< Runs it, answers without a length and closes.
    int foreignAnswer = 0;  ///< Runs it, answers with another call's id.
    int failAnswer = 0;     ///< Runs it, answers 500.
    bool leaving = false;
};

/** The service. */
class ServiceStandin
{
public:
    ServiceStandin(boost::asio::io_context &io, std::string name, std::uint32_t incarnation = 1);

    void listen(const kernel::Endpoint &endpoint) { server_.listen(endpoint); }
    std::uint16_t port() const { return server_.port(); }

    ServiceFaults faults;

    /** How often each call ran, by its body (by its path if it has none). */
    const std::map<std::string, int> &runs() const { return runs_; }

private:
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> run(http::Request request, http::Reply &reply);
    http::Answer control(const http::Request &request);

    std::string name_;
    std::uint32_t incarnation_;
    http::Server server_;
    std::map<std::string, int> runs_;
};

} // namespace limereel::standin
