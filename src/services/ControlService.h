/** \file
 * The HTTP interface for operators and monitoring: metrics, status, settings, the planned stop.
 *
 * Everything except health, readiness and metrics requires an operator's key. The address belongs
 * on a network that callers can't reach.
 */
#pragma once

#include "http/Server.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace limereel::services {

/** The listener for operators. */
class ControlService : public kernel::Service
{
public:
    explicit ControlService(Context &context);

    std::string_view name() const override { return "control"; }
    void start() override;
    void stop() override;

private:
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<http::Answer> answerOperator(http::Request request, std::string author);
    boost::asio::awaitable<http::Answer> updateSettings(http::Request request, std::string author);
    boost::asio::awaitable<http::Answer> settingsStatus();
    http::Answer settings() const;
    http::Answer status();
    http::Answer metrics();
    std::string operatorOf(const http::Request &request) const;

    Context &context_;
    std::unique_ptr<http::Server> server_;
};

} // namespace limereel::services
