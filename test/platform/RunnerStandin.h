/** \file
 * A small stand-in for a backend server of the users' platform, model engine or plain service, with
 * a fault for each of the next requests.
 */
#pragma once

#include "http/Message.h"
#include "kernel/BoxSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limereel::standin {

/** What happens to one request. */
enum class RunnerFault : std::uint8_t {
    None,
    Reject,           ///< Not run: no place.
    Misdirect,        ///< Not run: another incarnation.
    Fail,             ///< Runs and answers 500.
    ResetUnread,      ///< Closes without having run it.
    ResetAfter,       ///< Runs it and closes without an answer.
    Silent,           ///< Runs it and answers nothing.
    Surplus,          ///< An answer to another request comes before its own.
    Foreign,          ///< Only an answer to another request comes.
    Garbage,          ///< Bytes that form no answer.
    Unframed,         ///< The body has no length and ends with the connection.
    CutBody,          ///< The body ends before its length.
    CutStream,        ///< A stream breaks off in the middle of its third event.
    Trailing,         ///< Another byte follows the whole answer.
    Unsigned,         ///< A whole answer without the server's signature.
    SurplusRejection, ///< A rejection that names no request comes before its own answer.
    UnnamedReject,    ///< Not run: no place, and the answer doesn't name the request.
    Interim           ///< A head of status 1xx that names it comes before its own answer.
};

/** How the body of an answer is framed. */
enum class AnswerFraming : std::uint8_t { Length, Chunks, Connection };

/** An answer that ends with its connection after some bytes. */
struct CutAnswer
{
    AnswerFraming framing = AnswerFraming::Connection;
    std::size_t bytes = 0; ///< Behind the head, with what its framing adds; at most all.
    bool reset = false;    ///< The connection is reset instead of closed.
    bool portToo = false;  ///< The process has ended: its port takes no connection any more.
    /** With \a portToo: so long after this connection the port closes, and all others with it. */
    kernel::Duration portAfter{};

    auto operator<=>(const CutAnswer &) const = default;
};

/** One request that reached the runner. */
struct RunnerRecord
{
    std::string id;
    http::Request request;
    bool ran = false; ///< It ran, or waits in the queue to run.
};

/** The runner. */
class RunnerStandin
{
public:
    RunnerStandin(boost::asio::io_context &io, std::string name, kernel::Endpoint where);
    ~RunnerStandin();

    /** The next requests meet these, one each. */
    std::deque<RunnerFault> faults;

    /** The next answer of a request that runs ends like this. */
    std::optional<CutAnswer> nextCut;

    /** The bytes behind the head of the answer to \a request, framed in this way. */
    std::string framedBody(const http::Request &request, AnswerFraming framing) const;

    /** Events of a stream. */
    int events = 5;

    /** Turns each request away that meets no other fault. */
    bool turnsAway = false;

    /** The Retry-After of an answer that turns a request away; empty: none. */
    std::string restAsked;

    /** Resets each new connection on which nothing has come at once, as one above its limit. */
    bool resetsIdle = false;

    /** Says in each answer that it is about to end. */
    bool saysLeaving = false;

    /** The version of its software, which each of its events names; empty: none does. */
    std::string version;

    /** Whether its events have ids. */
    bool numbersEvents = true;

    /** Between two events. */
    kernel::Duration pause = 0ms;

    /** Requests that run at once, each for \a work before its answer; 0: no limit, and \a work is
     * not used. Up to \a queue more wait, the rest are rejected as RunnerFault::Reject does. All
     * three can be changed at any time; a request keeps the work with which it began. */
    std::size_t slots = 0;
    std::size_t queue = 0;
    kernel::Duration work = 0ms;

    /** Requests that were rejected because all slots and the queue were taken. */
    std::size_t rejections() const { return state_->rejections; }

    /** Largest number of requests that ran at once while \a slots was set. */
    std::size_t mostRunning() const { return state_->mostRunning; }

    const std::vector<RunnerRecord> &records() const { return state_->records; }
    std::size_t runs() const;
    int connections() const { return state_->connections; }

    /** Requests that broke off because the caller's side was gone. */
    int left() const { return state_->left; }

    const std::string &name() const { return name_; }
    const kernel::Endpoint &where() const { return where_; }

    /** Takes no more connections. */
    void close();

    /** A request with this body ends the process as it begins to run, \a endsAfter later; empty:
     * none does. */
    std::string endedBy;
    kernel::Duration endsAfter = 0ms;

    /** The same for each request whose prompt has one of these parts, except as its last one. */
    std::set<std::string> endedByParts;

    /** Ends as a process does that is killed: all connections are reset, the port is dead. */
    void crash();

    /** For so long after its connections have been reset the port still takes new ones. */
    kernel::Duration portEndsAfter = 0ms;

    /** Something else holds the port: the process is followed there by one of this name, which
     * serves at once. Nothing: it isn't followed. */
    std::function<std::string(const std::string &ended)> followedBy;

    /** How often the process has ended. */
    int ends() const { return state_->ends; }

    /** When it ended last. */
    std::chrono::steady_clock::time_point endedAt() const { return state_->endedAt; }
    bool crashed() const { return state_->crashed; }

private:
    struct State
    {
        std::vector<RunnerRecord> records;
        int connections = 0;
        int left = 0;
        bool open = true;
        bool crashed = false;
        bool ending = false; ///< Only the port is left of it.
        int ends = 0;
        std::chrono::steady_clock::time_point endedAt;
        std::size_t rejections = 0;
        std::size_t mostRunning = 0;
        std::set<boost::asio::ip::tcp::socket *> sockets; ///< Of open connections.
    };

    /** A request that waits for a slot. */
    struct Waiter
    {
        boost::asio::steady_timer timer;
        bool granted = false;
    };

    /** The slots of one process, and the requests that wait for one. */
    struct Room
    {
        std::size_t running = 0;
        std::deque<std::shared_ptr<Waiter>> waiting;
        bool open = true;
    };

    bool accepts() const;
    bool endsUnder(const http::Request &request) const;
    boost::asio::awaitable<bool> takeSlot(std::shared_ptr<Room> room);
    void leaveSlot(Room &room);
    void closeRoom();
    boost::asio::awaitable<bool> run(boost::asio::ip::tcp::socket &socket,
                                     const http::Request &request, RunnerFault fault);
    void resetAll();
    boost::asio::awaitable<void> endPort(std::shared_ptr<State> state);
    boost::asio::awaitable<void> endAllAfter(std::shared_ptr<State> state, kernel::Duration after);
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveRequests(boost::asio::ip::tcp::socket &socket);
    boost::asio::awaitable<bool> answer(boost::asio::ip::tcp::socket &socket,
                                        const http::Request &request, RunnerFault fault);
    std::string words(bool turnedAway) const;
    boost::asio::awaitable<void> writeCut(boost::asio::ip::tcp::socket &socket,
                                          const http::Request &request, CutAnswer cut);
    boost::asio::awaitable<bool> stream(boost::asio::ip::tcp::socket &socket,
                                        const http::Request &request, RunnerFault fault);

    boost::asio::io_context &io_;
    std::string name_;
    kernel::Endpoint where_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
    std::shared_ptr<Room> room_ = std::make_shared<Room>();
};

} // namespace limereel::standin
