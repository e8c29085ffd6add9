/** \file
 * A gateway with its real services and the adapter of the users' platform, between stand-ins, all
 * on one event loop. Its clock can be moved forward, as though the process had stood still.
 */
#pragma once

#include "gateway/Gateway.h"
#include "http/KeptConnection.h"
#include "platform/Adapter.h"
#include "platform/RunnerStandin.h"
#include "platform/StoreStandin.h"
#include "services/Context.h"

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::support {

/** What a caller got. */
struct GatewayAnswer
{
    bool answered = false; ///< The head came.
    bool whole = false;    ///< The body came to an end without an error.
    bool marked = false;   ///< The end was that of its length or of its chunks.
    int status = 0;
    http::Fields fields;
    std::string body;
};

/** A request on its way. */
struct PendingCall
{
    bool done = false;
    GatewayAnswer answer;
    http::KeptConnection::Ptr connection;
};

/** The world of one test. */
class GatewayFixture
{
public:
    GatewayFixture();
    ~GatewayFixture();

    /** The configuration of most tests: routes /once/, /again/, /stream/, /resume/, /open/. */
    static nlohmann::json configuration(int version);
    void putConfiguration(const nlohmann::json &spec) { store_->put("config", "main", spec); }

    /** Lists a runner in the store. */
    void list(const standin::RunnerStandin &runner, const std::string &service,
              const std::string &state = "ready");

    /** The entry by which list() lists a runner. */
    static nlohmann::json entryOf(const standin::RunnerStandin &runner, const std::string &service,
                                  const std::string &state = "ready");

    /** Starts the gateway. */
    void start();

    /** Starts it and waits until it is ready with two runners of the service "pool". */
    void startReady();

    /** Runs the loop until \a condition holds; fails the test after a generous while. */
    void until(const std::function<bool()> &condition, const std::string &what);

    /** A request of the organisation "one"; \a more goes before the usual fields. */
    static http::Request request(const std::string &method, const std::string &target,
                                 const http::Fields &more = {});

    /** The same with a prompt of three parts. */
    static http::Request promptRequest(const std::string &target, const http::Fields &more = {});

    /** Sends it on a connection of its own, or on \a kept. */
    std::shared_ptr<PendingCall> begin(http::Request request, http::KeptConnection::Ptr kept = {});
    GatewayAnswer call(http::Request request);

    /** Sends it on \a connection and fills \a answer as it comes; that has to live so long. */
    static boost::asio::awaitable<void> readAnswer(http::KeptConnection::Ptr connection,
                                                   http::Request request, GatewayAnswer &answer);
    GatewayAnswer finish(const std::shared_ptr<PendingCall> &pending);

    /** Lines for the gateway's section of the settings; read by start(). */
    std::string moreSettings;

    /** What start() gives the gateway. */
    gateway::Adapter adapter = platform::adapter();

    /** Repeats beyond the ratio in a window; read by start(). */
    int retrySlack = 1000;

    bool ready();

    const kernel::Endpoint &callerEndpoint() const { return caller_; }
    const kernel::Endpoint &readyEndpoint() const { return ready_; }
    const kernel::Endpoint &controlEndpoint() const { return control_; }
    const kernel::Endpoint &peerEndpoint() const { return peer_; }
    const kernel::Endpoint &storeEndpoint() const { return storeAt_; }

    /** Moves the gateway's clock. */
    void stepForward(kernel::Duration by) { offset_ += by; }

    standin::StoreStandin &store() { return *store_; }
    standin::RunnerStandin &runner(std::size_t index) { return *runners_.at(index); }
    services::Context &context() { return *context_; }

    /** The runner that has had requests, of two. */
    standin::RunnerStandin &used();
    std::size_t runs() const;

    /** The faults of the next request, wherever it goes. */
    void nextMeets(standin::RunnerFault fault);

protected:
    /** The settings of the gateway as an INI file. */
    std::string settingsText() const;

    boost::asio::io_context io_{1};
    std::unique_ptr<standin::StoreStandin> store_;
    std::vector<std::unique_ptr<standin::RunnerStandin>> runners_;
    std::unique_ptr<services::Context> context_;
    bool stopped_ = false;

private:
    boost::asio::awaitable<void> exchange(std::shared_ptr<PendingCall> pending,
                                          http::Request request);

    kernel::Endpoint storeAt_;
    kernel::Endpoint caller_;
    kernel::Endpoint ready_;
    kernel::Endpoint control_;
    kernel::Endpoint peer_;
    kernel::Duration offset_{};
};

} // namespace limereel::support
