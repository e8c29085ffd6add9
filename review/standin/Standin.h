/** \file
 * Stand-ins for the scripts of this folder: the platform's store, backend servers and clients as
 * the users' pages describe them, and the start of a gateway by the command of the deploy file.
 *
 * One thread a connection and blocking sockets, so that nothing here shares code, or a fault, with
 * the program under test.
 */
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

/** Writes record.txt: one line an event, with the milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

private:
    std::mutex mutex_;
    int file_ = -1;
    Clock::time_point began_ = Clock::now();
};

/** The head and body of a request or an answer. Names of fields are in lower case. */
struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool whole = false;  ///< By its framing.
    bool marked = false; ///< It has a length or chunks; else it ends with its connection.
    bool reset = false;  ///< The connection was reset before its end.

    /** The value of the field \a name, given in lower case; nothing: there is none. */
    std::optional<std::string> field(const std::string &name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/** One end of a TCP connection. */
class Connection
{
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool write(const std::string &bytes);
    std::optional<Message> readRequest();
    /** \param longest for each piece of the answer; the client leaves after that. */
    Message readAnswer(Milliseconds longest);
    /** Closes it with a reset, as the end of a process with unread bytes does. */
    void reset();
    void close();

private:
    bool more();
    bool readHead(Message &message);
    void readChunks(Message &message);

    int socket_;
    std::string buffer_;
    bool reset_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

/** Connects to \a address, "IP:PORT"; nullptr if that fails. */
ConnectionPtr connectTo(const std::string &address);

/** A listening socket that serves each connection in a thread of its own. */
class Listener
{
public:
    /** \param address "IP:PORT"; port 0 takes a free one. */
    Listener(const std::string &address, std::function<void(ConnectionPtr)> serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    const std::string &address() const { return address_; }

private:
    void accept();

    int socket_ = -1;
    std::string address_;
    std::function<void(ConnectionPtr)> serve_;
    std::atomic<bool> ended_{false};
    std::thread thread_;
};

/** The platform's store: objects by kind and name, lists, and watches that wait. */
class Store
{
public:
    explicit Store(const std::string &address);
    ~Store();

    void put(const std::string &kind, const std::string &name, const json &spec);
    void remove(const std::string &kind, const std::string &name);
    const std::string &address() const { return listener_->address(); }

private:
    void serve(const ConnectionPtr &connection);
    std::pair<int, json> answer(const Message &request);
    std::pair<int, json> change(const Message &request, const std::string &kind,
                                const std::string &name);
    void store(const std::string &kind, json object, bool gone);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<std::pair<std::string, json>> events_; ///< The kind, and the event.
    std::uint64_t revision_ = 1;
    bool ended_ = false;
    std::unique_ptr<Listener> listener_;
};

/** A backend server. It is listed in the store while it lives. */
class Runner
{
public:
    /** Answers one request; returns whether the connection stays open. */
    using Run = std::function<bool(const Message &request, Connection &connection)>;

    Runner(Store &store, std::string id, const std::string &service, const std::string &address,
           const std::string &hall, Run run);

    const std::string &id() const { return id_; }

private:
    void serve(const ConnectionPtr &connection);

    std::string id_;
    Run run_;
    std::unique_ptr<Listener> listener_;
};

/** A backend server that runs as a process of its own, so that it can be killed. */
class RunnerProcess
{
public:
    /** To be made before any thread is started. \param serve serves one connection there; what it
     * tells arrives in \a record. */
    RunnerProcess(
            const std::string &address,
            std::function<void(const ConnectionPtr &, const std::function<void(std::string)> &)>
                    serve);
    ~RunnerProcess();
    RunnerProcess(const RunnerProcess &) = delete;
    RunnerProcess &operator=(const RunnerProcess &) = delete;

    /** Writes what the process tells into \a record, from now on. */
    void tellTo(Record &record);
    const std::string &address() const { return address_; }
    void kill();

private:
    std::string address_;
    int told_ = -1;
    pid_t process_ = -1;
};

/** The entry of a backend server in the store. */
json entryOf(const std::string &service, const std::string &address, const std::string &hall);

/** A gateway that runs as a process of its own. */
class Gateway
{
public:
    /** \param ip a loopback address that only this process uses. */
    Gateway(const std::string &name, std::string ip, const std::string &hall,
            const std::string &storeAddress, const std::string &folder);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    std::string front() const { return ip_ + ":8227"; }
    void signal(int number) const;
    bool running();
    /** Waits until it calls itself ready. */
    bool waitReady(Milliseconds longest);

private:
    std::string ip_;
    pid_t process_ = -1;
};

/** A route as the operator's configuration holds it. */
json route(const std::string &prefix, const std::string &kind, const std::string &service,
           int timeoutMs, int goalMs, int attempts);

/** A whole configuration; \a tenants as the page has them. */
json configuration(int version, const json &routes, const std::vector<std::string> &services,
                   const json &tenants);

/** An answer with a length and the fields that each runner's answer carries. */
std::string plainAnswer(const Message &request, const std::string &stamp, const std::string &body);

/** A loopback network of this run's own, "127.X.Y."; its ports are free. */
std::string ownNetwork();

/** Whether the script shall cause the disruption: TROUBLE isn't 0. */
bool troubled();

} // namespace review
