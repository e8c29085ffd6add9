/** \file
 * Stand-ins of the users' platform for the cases 4 to 8: the metadata store, backend servers and
 * callers, and the programs under test as processes of their own. They keep to the users' pages.
 * Blocking sockets, one thread a connection; all on loopback addresses and the real clock.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
enum Outcome : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/** Whether the case is to be played with its disruption. */
bool withTrouble();

void sleepFor(int milliseconds);

/** The file of what was sent, answered and run; each line has the milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &file);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
    Clock::time_point begin_ = Clock::now();
};

/** An address of this run: all of it is within 127.0.0.0/8. */
struct Endpoint
{
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

/** A loopback IP number for machine \a number of this run. */
std::string loopback(int number);

/** A port that is free now at \a ip. */
int freePort(const std::string &ip);

/** One HTTP message, or what came of it. */
struct Message
{
    std::string start; ///< The request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool whole = false; ///< The body came to its end, by its framing.

    std::string get(std::string_view name) const;
    std::string word(int number) const; ///< Of the first line, counted from 0.
    int status() const;
};

/** A connected socket. */
class Socket
{
public:
    explicit Socket(int handle)
        : handle_(handle)
    {
    }
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    bool send(std::string_view bytes);

    /** Reads the next message; nothing if none came within \a longest. \param request whether it is
     * one; answers without a length end with the connection. */
    std::optional<Message> read(bool request, Milliseconds longest);

    /** Whether the peer has closed within \a longest; unread bytes are kept. */
    bool closedWithin(Milliseconds longest);

    void close();

private:
    bool more(Clock::time_point until);

    int handle_;
    std::string unread_;
};

using SocketPtr = std::shared_ptr<Socket>;

/** Connects; nullptr if nobody listens there. */
SocketPtr connectTo(const Endpoint &where);

/** Takes connections and serves each on a thread of its own. */
class Listener
{
public:
    using Serve = std::function<void(SocketPtr)>;
    Listener(const Endpoint &where, Serve serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /** Ends as a process that crashes: nothing listens any more, all connections close. */
    void crash();

private:
    void accept();

    int handle_ = -1;
    Serve serve_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<std::weak_ptr<Socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/** The platform's metadata store. It has an address for each machine that asks it, so that a
 * machine can be cut off from it alone. */
class Store
{
public:
    explicit Store(Record &record);

    /** A further address of the store. */
    Endpoint open(const std::string &ip);

    /** The machine behind \a address is cut off silently: what it sends isn't answered. */
    void setCut(const Endpoint &address, bool cut);

    /** Creates or replaces an object; returns once that is acknowledged. */
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::string kind;
        std::string name;
        std::string spec;
        std::uint64_t revision = 0;
        std::uint64_t made = 0;
        bool gone = false;
    };

    void serve(const SocketPtr &socket, const std::string &address);
    std::string answer(const Message &request);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t since, int waitMs);
    std::string change(const Message &request, const std::string &kind, const std::string &name);
    bool isCut(const std::string &address);
    static std::string text(const Object &object);

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::pair<std::string, std::string>, Object> objects_;
    std::vector<Object> history_;
    std::map<std::string, bool> cut_;
    std::vector<std::unique_ptr<Listener>> listeners_;
};

/** A request as a backend server got it. */
struct Arrival
{
    std::string attempt; ///< X-Attempt-Id.
    Message request;
    Clock::time_point at;
    bool ran = false;
};

/** A backend server. It runs each request that names it and answers with its signature. */
class Runner
{
public:
    /** Serves one request itself. \return false: it closes the connection after it. */
    using Serve = std::function<bool(Runner &, const Message &, Socket &)>;

    Runner(Record &record, std::string id, const std::string &ip);

    const std::string &id() const { return id_; }
    const Endpoint &where() const { return where_; }

    /** Replaces how it serves requests. */
    void setServe(Serve serve);

    /** Writes its entry into the store. */
    void enter(Store &store, const std::string &service, const std::string &zone);

    /** Writes the entry of a server that runs elsewhere. */
    static void enterAs(Store &store, const std::string &id, const Endpoint &where,
                        const std::string &service, const std::string &zone);

    /** Begins work on a request; from here on it has run. */
    void run(const Message &request);

    /** Its whole answer to \a request. */
    std::string answerTo(const Message &request, const std::string &body) const;

    /** The usual way to serve a request. */
    bool serveSoundly(const Message &request, Socket &socket);

    std::vector<Arrival> arrivals();
    int runsOf(const std::string &attempt);
    int runs();
    void crash();

private:
    void serve(const SocketPtr &socket);

    Record &record_;
    std::string id_;
    Endpoint where_;
    std::mutex mutex_;
    Serve serve_;
    std::vector<Arrival> arrivals_;
    std::unique_ptr<Listener> listener_;
};

/** A route of a configuration. */
struct Route
{
    std::string prefix;
    std::string kind;
    std::string service;
    int timeoutMs = 3000;
    int attempts = 1;
    bool anonymous = false;
};

/** A configuration as the operator writes it. \param tenants the value of that field, as JSON. */
std::string configuration(int version, const std::vector<Route> &routes,
                          const std::vector<std::string> &services, const std::string &tenants);

/** The program under test on one machine, started with the deploy file's command. */
class Box
{
public:
    /** \param seeds IP numbers of the machines that its settings name as seeds. */
    Box(Record &record, const std::string &node, const std::string &ip, const Endpoint &store,
        int peerPort, const std::vector<std::string> &seeds);
    ~Box();
    Box(const Box &) = delete;
    Box &operator=(const Box &) = delete;

    /** Starts it; returns whether it called itself ready within ten seconds. */
    bool start();
    void signal(int number) const;
    const Endpoint &front() const { return front_; }
    bool ready() const;

private:
    std::string settings() const;

    Record &record_;
    std::string node_;
    std::string ip_;
    Endpoint store_;
    int peerPort_;
    std::vector<std::string> seeds_;
    Endpoint front_;
    Endpoint ready_;
    Endpoint control_;
    std::string folder_;
    int process_ = -1;
};

/** A request of a caller. */
struct Call
{
    std::string method = "POST";
    std::string path;
    std::string attempt;
    std::string key;
    int deadlineMs = 3000;
    std::string body = "{\"text\":\"a body\"}";
};

std::string bytesOf(const Call &call);

/** Sends \a call on \a socket and waits for its answer. Nothing: none came. */
std::optional<Message> ask(Record &record, Socket &socket, const Call &call);

/** The same on a connection of its own. */
std::optional<Message> ask(Record &record, const Endpoint &where, const Call &call);

/** Runs a case; an exception means that it couldn't run. */
int play(int argc, char **argv, const std::function<Outcome(Record &)> &run);

} // namespace lab
