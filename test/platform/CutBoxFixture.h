/** \file
 * Gateways of one hall between the same backend servers, where some boxes reach these only through
 * proxies of their own, so that single boxes can be cut off from all of them.
 */
#pragma once

#include "platform/GatewayFixture.h"
#include "platform/HallFixture.h"
#include "platform/soak/LoopbackProxy.h"

#include <memory>
#include <string>
#include <vector>

namespace limereel::support {

/** The world of one test. */
class CutBoxFixture : public HallFixture
{
public:
    CutBoxFixture();

    /** Starts the boxes and waits until they are ready and know each other.
     * \param cuttable how many of them have proxies; they come first. */
    void startBoxes(std::size_t cuttable, std::size_t others);

    /** The version of each server's software; to be changed before startBoxes(). */
    std::vector<std::string> versions = {"v1", "v1", "v1"};

    /** The configuration of all stores; null: GatewayFixture's with these services. To be changed
     * before startBoxes(). */
    nlohmann::json firstConfiguration;

    /** The service of each server; if there are several, each route is split over them evenly. */
    std::vector<std::string> services = {"pool", "pool", "pool"};

    /** What becomes of a cut box's connections to backend servers. */
    enum class Cut : std::uint8_t { None, Refused, Reset, Hanging };

    /** Cuts a box off from all backend servers, or ends that. */
    void cut(std::size_t box, Cut how);

    /** A server's entry goes from the list, and all boxes know it. */
    void unlist(std::size_t server);

    /** The store of a box that has proxies, which no other box reads. */
    standin::StoreStandin &storeOf(std::size_t box) { return *ways_.at(box).store; }

    /** Sends a request of the organisation "one" to a box and returns its answer. */
    GatewayAnswer call(std::size_t box, http::Request request);

    /** The same without waiting for the answer. */
    std::shared_ptr<PendingCall> begin(std::size_t box, http::Request request);

    /** A request for a target that wasn't used before. */
    http::Request fresh(const std::string &prefix);

    /** Sends requests to a box until it knows that it is cut off. */
    void letNotice(std::size_t box);

    standin::RunnerStandin &runner(std::size_t index) { return *runners_.at(index); }
    std::size_t servers() const { return runners_.size(); }
    std::size_t runs() const;

private:
    /** A listener without room: the system drops further connects, and their callers wait. */
    struct FullListener
    {
        FullListener(boost::asio::io_context &io, const kernel::Endpoint &where);

        boost::asio::ip::tcp::acceptor acceptor;
        std::vector<boost::asio::ip::tcp::socket> fillers;
    };

    /** What stands between a box and the backend servers. */
    struct Way
    {
        std::unique_ptr<standin::StoreStandin> store;
        std::vector<std::unique_ptr<soak::LoopbackProxy>> proxies;
        std::vector<kernel::Endpoint> addresses;         ///< Of the proxies, also while closed.
        std::vector<std::unique_ptr<FullListener>> full; ///< In their places, while connects hang.
    };

    nlohmann::json configuration() const;
    void fill(standin::StoreStandin &store, const std::vector<kernel::Endpoint> &servers);
    void open(Way &way);
    boost::asio::awaitable<void> exchange(kernel::Endpoint where, http::Request request,
                                          std::shared_ptr<PendingCall> pending);

    std::vector<std::unique_ptr<standin::RunnerStandin>> runners_;
    std::vector<Way> ways_;
    std::size_t boxCount_ = 0;
    std::uint64_t requests_ = 0;
};

} // namespace limereel::support
