/** \file
 * Some boxes of one hall and some engines, which end under certain requests and are brought back
 * under new ids.
 */
#pragma once

#include "platform/HallFixture.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limereel::support {

/** The body of a request that ends each engine which begins to run it. */
inline constexpr const char *Crashing = "the request that ends servers";

/** What a caller got; status 0 where the connection ended without an answer. */
struct Got
{
    bool done = false;
    int status = 0;
    bool whole = false;
    http::Fields fields;

    bool served() const { return status == 200 && whole; }
};

/** One caller's request. */
struct Ask
{
    std::string prefix = "/stream/"; ///< Of its path.
    std::string body = "harmless";
    std::string prompt = "cc:300"; ///< Only sent on "/stream/".
    std::string key = "key-one";
};

/** The world of one test. */
class CrashFixture : public HallFixture
{
public:
    static constexpr std::size_t Boxes = 4;

    void startAll();
    void untilAllReady(std::size_t first, std::size_t count);

    /** Callers come again at one box after another, whatever they are told. */
    std::vector<Got> comeAgain(int times, const std::string &prefix);

    /** Callers come again every 100 ms until a box says that the request is stopped, 20 s at
     * most. */
    void comeAgainUntilStopped();

    Got call(std::size_t box, const Ask &ask);
    Got call(std::size_t box, const std::string &prefix, const std::string &body);
    std::shared_ptr<Got> begin(std::size_t box, const Ask &ask);
    std::shared_ptr<Got> begin(std::size_t box, const std::string &prefix, const std::string &body);

    /** An operator lifts something: \a query names it. \return the status of the answer. */
    int lift(std::size_t box, const std::string &query, const std::string &key);

    /** The identity of the request with the body Crashing. */
    static forward::RequestIdentity identity(const std::string &prefix);

    /** Engines that have ended are back, each under a new id that all boxes know. */
    void bringBack();

    /** Engines that ended \a ago or longer before are back, each under a new id. */
    void bringBackAfter(kernel::Duration ago);

    std::size_t ended() const;
    void restartAll();

    /** Requests that have reached engines. */
    std::size_t reached() const;

    /** The same, of requests with this part of a prompt. */
    std::size_t reachedWith(const std::string &part) const;

    /** Waits until each of \a boxes has one record, of a request that is stopped. */
    void untilStoppedAt(const std::vector<std::size_t> &boxes);

    /** Engines that have ended, those whose port is still open included. */
    std::size_t ends() const;

    /** Engines whose ports are held by something else: the next process there serves at once, and
     * its entry follows some time later. */
    void letProcessesFollowEachOther();

    std::vector<std::unique_ptr<standin::RunnerStandin>> engines_;
    std::size_t engineSlots = 0;         ///< 0: as many as are asked for. Read as an engine starts.
    std::size_t engineQueue = 0;         ///< Beyond its slots. Read as an engine starts.
    kernel::Duration engineWork = 0ms;   ///< Before an answer. Read as an engine starts.
    std::size_t engineCount = 6;         ///< Read by startAll().
    std::set<std::string> crashingParts; ///< Read as an engine starts.
    kernel::Duration endsAfter = 5ms;    ///< Read as an engine starts.
    kernel::Duration portEndsAfter = 0ms; ///< Read as an engine starts.
    kernel::Duration betweenEvents = 0ms; ///< Read as an engine starts.

private:
    boost::asio::awaitable<void> listLater(std::string before, std::string after,
                                           kernel::Endpoint where);
    boost::asio::awaitable<void> exchange(kernel::Endpoint where, http::Request request,
                                          std::shared_ptr<Got> got);
    void untilListed(const std::string &id);
    void startEngine(const kernel::Endpoint &where);
    void replace(std::size_t engine);
    void putEntry(const std::string &id, const kernel::Endpoint &where);
    void putConfiguration();

    int requests_ = 0;
    std::set<std::size_t> back_; ///< Of engines that have ended: those that were brought back.
};

} // namespace limereel::support
