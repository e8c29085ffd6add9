/** \file
 * A small stand-in for a model engine, as docs/interfaces/engine.md describes it: batches
 * continuously, keeps prompt prefixes in a limited cache, streams numbered frames that can be
 * resumed and cancelled, and takes fenced orders. Faults are switched on over /control.
 */
#pragma once

#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace limereel::standin {

/** How an engine behaves. */
struct EngineOptions
{
    std::string name;
    std::vector<std::string> models; ///< Loaded at the start.
    std::uint32_t incarnation = 1;
    kernel::Duration step = 3ms;      ///< One token of every running request.
    std::size_t cacheTokens = 200000; ///< Of all prefixes together.
    std::size_t slots = 256;
    bool checksTokens = true;
    kernel::Duration loadLag = 0ms;   ///< Its status tells the load of so long ago.
    kernel::Duration loadTime = 50ms; ///< Until a model that was ordered is ready.
};

/** Faults, each as many times as its number says. */
struct EngineFaults
{
    int refuseFull = 0;     ///< 503, not started.
    std::string restAsked;  ///< The Retry-After of such a refusal; empty: none.
    int dropUnanswered = 0; ///< Begins the work, closes without an answer.
    int failAnswer = 0;     ///< 500 after the work.
    int cutStream = 0;      ///< Closes the stream after cutAfter frames.
    std::uint64_t cutAfter = 3;
    int foreignFrame = 0; ///< Puts a frame of another request into a stream.
    int repeatFrame = 0;  ///< Sends a frame twice.
    int swapFrames = 0;   ///< Sends two frames in the wrong order.
    int loseEnd = 0;      ///< Ends a stream without its end marker, and forgets it.
    bool leaving = false;
    bool dead = false;   ///< Every connection is closed unanswered.
    std::string endedBy; ///< A request whose body holds this text ends the process as it begins.
};

/** The engine. */
class EngineStandin
{
public:
    EngineStandin(boost::asio::io_context &io, EngineOptions options);

    void listen(const kernel::Endpoint &endpoint) { server_->listen(endpoint); }
    std::uint16_t port() const { return server_->port(); }

    /** Ends as a process does: connections are closed, and nothing listens any more. */
    void crash();
    bool crashed() const { return !server_; }

    /** Listens again at the port that it had, and knows nothing. */
    void comeBack();

    /** Forgets everything, as a restart does. */
    void restart();

    EngineFaults faults;

    /** How often each request was begun, by its id. */
    const std::map<std::string, int> &runs() const { return runs_; }
    std::uint64_t prefixHits() const { return prefixHits_; }
    std::uint64_t prefixMisses() const { return prefixMisses_; }
    std::size_t running() const { return running_; }
    std::size_t cancelled() const { return cancelled_; }
    std::size_t greatest() const { return greatest_; }
    std::uint64_t token() const { return token_; }
    const std::map<std::string, bool> &models() const { return models_; }
    const std::vector<std::string> &orders() const { return orders_; }

private:
    struct Job;
    using JobPtr = std::shared_ptr<Job>;

    std::unique_ptr<http::Server> newServer();
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> generate(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> resume(std::string id, std::uint64_t from, http::Reply &reply);
    boost::asio::awaitable<void> stream(JobPtr job, std::uint64_t from, http::Reply &reply,
                                        bool withFaults);
    boost::asio::awaitable<void> work(JobPtr job);
    http::Answer order(const http::Request &request);
    http::Answer status();
    std::size_t laggingLoad();
    http::Answer control(const http::Request &request);
    std::uint32_t usePrefix(const std::string &key, std::uint32_t tokens);

    boost::asio::io_context &io_;
    EngineOptions options_;
    std::unique_ptr<http::Server> server_; ///< Nothing once it has ended.
    std::map<std::string, bool> models_;
    std::unordered_map<std::string, JobPtr> jobs_;
    std::map<std::string, int> runs_;
    std::list<std::pair<std::string, std::uint32_t>> cache_; ///< Key and tokens, last used first.
    std::unordered_map<std::string, std::list<std::pair<std::string, std::uint32_t>>::iterator>
            cached_;
    std::size_t cachedTokens_ = 0;
    std::uint64_t prefixHits_ = 0;
    std::uint64_t prefixMisses_ = 0;
    std::size_t running_ = 0;
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::size_t>>
            pastLoads_; ///< Since when each, oldest first.
    std::size_t greatest_ = 0;
    std::size_t cancelled_ = 0;
    std::uint16_t formerPort_ = 0;
    std::uint64_t token_ = 0; ///< Greatest of all orders.
    std::vector<std::string> orders_;
};

} // namespace limereel::standin
