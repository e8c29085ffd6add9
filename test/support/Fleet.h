/** \file
 * A small fleet in one process and one thread: routers with all their services, and stand-ins for
 * engines, services and the platform. Tests run its event loop until what they wait for has come,
 * under a deadline.
 */
#pragma once

#include "http/Client.h"
#include "services/Context.h"
#include "standin/EngineStandin.h"
#include "standin/PlatformStandin.h"
#include "standin/ServiceStandin.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace limereel::support {

/** What a caller was given. */
struct CallerAnswer
{
    int status = 0; ///< 0: the connection was closed before an answer.
    std::string body;
    std::string requestId;
    std::string resultCode;
    std::string ran;
    std::string retryAfter;
    std::string engine;
    std::string route;
    std::string chatToken;
    bool marked = false; ///< The end of its body was that of its length or of its chunks.
    bool whole = false;  ///< An answer, not a refusal, that came to its proper end.

    /** The text of a chat's answer, streamed or not. */
    std::string text() const;
};

/** One chat turn as a test asks for it. */
struct Turn
{
    std::string chat;
    std::string says = "hello";
    std::string model = "small";
    std::string key = "key-of-the-hauler-a";
    int tokens = 4;
    bool stream = true;
    bool repeatable = true;
    std::string token;
};

/** The fleet. Start it with builders, then run(). */
class Fleet
{
public:
    Fleet();
    ~Fleet();

    /** Adds a hall's engines, each with \a models loaded. */
    Fleet &engines(const std::string &hall, int count,
                   const std::vector<std::string> &models = {"small"});
    /** Lets all engines that are added later tell loads that are so old. */
    Fleet &loadLag(kernel::Duration lag);
    Fleet &serviceRunners(const std::string &hall, int count, const std::string &service);
    Fleet &routers(const std::string &hall, int count);

    /** Changes what all routers that are started later are set to. */
    Fleet &settings(std::function<void(kernel::BoxSettings &)> change);

    /** Sets the tree of settings that lies on the platform at the start. */
    Fleet &tree(std::string text);

    /** Starts everything, and runs until every router is ready and knows all engines. */
    void start();

    /** Runs the loop until \a condition holds. \return false if the deadline came first. */
    bool until(const std::function<bool()> &condition, kernel::Duration deadline = 20s);

    /** Runs \a work to its end. */
    void await(std::function<boost::asio::awaitable<void>()> work);

    CallerAnswer chat(std::size_t router, const Turn &turn);
    CallerAnswer call(std::size_t router, http::Request request);

    /** The request that asks for \a turn. */
    static http::Request chatRequest(const Turn &turn);

    /** The same as a coroutine, for many at once. */
    boost::asio::awaitable<CallerAnswer> chatAsync(std::size_t router, Turn turn);
    boost::asio::awaitable<CallerAnswer> callAsync(std::size_t router, http::Request request);

    /** An operator's call to a router's control address. */
    http::Answer control(std::size_t router, const std::string &method, const std::string &path,
                         const std::string &body = {});

    /** Sets one value of the tree through a router. */
    http::Answer set(std::size_t router, const std::string &path, const std::string &key,
                     const std::string &value);

    /** Stops a router at once, as a crash does. */
    void kill(std::size_t router);
    bool alive(std::size_t router) const
    {
        return routers_.at(router)->context != nullptr && !routers_.at(router)->stopped;
    }

    /** Starts a killed or stopped router again, under the same name and addresses. */
    void revive(std::size_t router);

    /** Whether every router that is alive is ready, knows the others of its hall, and sees all
     * open. */
    bool settled();

    std::size_t routerCount() const { return routers_.size(); }

    /** Calls \a work for each of \a count numbers, so many at once, and waits until all are done.
     */
    void forEach(int count, int atOnce,
                 const std::function<boost::asio::awaitable<void>(int)> &work);

    /** The settings that a router is started with; changes count from the next revive(). */
    kernel::BoxSettings &settingsOf(std::size_t router) { return routers_.at(router)->settings; }
    services::Context &context(std::size_t router) { return *routers_.at(router)->context; }
    standin::EngineStandin &engine(std::size_t index) { return *engines_.at(index)->standin; }
    std::size_t engineCount() const { return engines_.size(); }
    standin::EngineStandin &engineNamed(const std::string &name);
    standin::ServiceStandin &service(std::size_t index) { return *services_.at(index)->standin; }
    standin::PlatformStandin &platform() { return platform_; }
    boost::asio::io_context &io() { return io_; }

    /** Lets an engine answer nothing, and come back empty. */
    void takeDown(std::size_t index) { engines_.at(index)->standin->faults.dead = true; }
    void bringBack(std::size_t index)
    {
        engines_.at(index)->standin->restart();
        engines_.at(index)->standin->faults.dead = false;
    }

    /** Cuts two routers off from each other, or joins them again; callers and engines still reach
     * both. */
    void cut(std::size_t router, std::size_t other, bool isCut = true);

    /** Removes an engine from the platform's list, or marks it as leaving there. */
    void unlistEngine(std::size_t index);
    void listAsLeaving(std::size_t index);
    void publish();

    /** How often something ran on all engines, and on all runners. */
    int engineRuns() const;
    int serviceRuns() const;

    /** Times that some request was begun more than once under ids of the same request. */
    std::map<std::string, int> runsByRequest() const;

private:
    struct EngineEntry
    {
        std::string name;
        std::string hall;
        std::unique_ptr<standin::EngineStandin> standin;
        bool listed = true;
        bool leaving = false;
    };

    struct ServiceEntry
    {
        std::string name;
        std::string hall;
        std::string service;
        std::unique_ptr<standin::ServiceStandin> standin;
    };

    struct RouterEntry
    {
        kernel::BoxSettings settings;
        std::unique_ptr<services::Context> context;
        bool stopped = false; ///< By a planned stop.
    };

    void startRouter(RouterEntry &entry);

    boost::asio::io_context io_;
    standin::PlatformStandin platform_;
    kernel::Endpoint platformEndpoint_;
    std::vector<std::unique_ptr<EngineEntry>> engines_;
    std::vector<std::unique_ptr<ServiceEntry>> services_;
    std::vector<std::unique_ptr<RouterEntry>> routers_;
    std::vector<std::unique_ptr<services::Context>>
            graveyard_; ///< Killed; coroutines may still hold them.
    std::function<void(kernel::BoxSettings &)> change_ = [](kernel::BoxSettings &) {};
    std::string tree_;
    kernel::Duration loadLag_{};
    std::uint64_t incarnations_ = 0;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
};

/** The key of the operator that the fleet's routers know. */
inline const std::string OperatorKeyText = "key-of-the-operator-1";

/** A tree with two haulers, a pool of model "small", and the service "calendar". */
std::string sampleTree();

} // namespace limereel::support
