/** \file
 * A hall of gateways with their real services, each on an event loop of its own, between one store
 * and one backend server. Each has an IP number of its own on the loopback device, as boxes find
 * each other at one port.
 */
#pragma once

#include "gateway/FleetView.h"
#include "gateway/Gateway.h"
#include "platform/RunnerStandin.h"
#include "platform/StoreStandin.h"
#include "services/Context.h"
#include "services/CrashService.h"

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace limereel::support {

/** The world of one test. */
class HallFixture
{
public:
    HallFixture();
    ~HallFixture();
    HallFixture(const HallFixture &) = delete;
    HallFixture &operator=(const HallFixture &) = delete;

    /** Whether a box has a way to the store. */
    enum class Store : std::uint8_t { Reached, OutOfReach };

    /** Starts one more box. \param linkMbps of its own link. */
    std::size_t startBox(Store store, int linkMbps = 20);

    /** Starts one more box, which reads the store at \a store. */
    std::size_t startBoxAt(const kernel::Endpoint &store, int linkMbps = 20);

    /** A box stands still from now on: its system takes connections, and nobody answers. */
    void freeze(std::size_t index) { boxes_.at(index)->frozen = true; }

    /** A frozen box goes on. */
    void thaw(std::size_t index) { boxes_.at(index)->frozen = false; }

    /** Puts a configuration with a route "/version<n>/" into the store. */
    void putVersion(int version, std::size_t padding = 0);

    /** Lists the backend server in the store. */
    void listServer();
    void listServer(const std::string &id);

    /** The version in force at a box; 0: none. */
    std::uint64_t version(std::size_t index) const;
    bool everyBoxIsAt(std::uint64_t version) const;
    gateway::FleetView &world(std::size_t index) const;
    const services::CrashService &crashes(std::size_t index) const;

    /** Boxes that a box takes for live, itself included. */
    std::size_t boxesKnownTo(std::size_t index) const;

    /** Where a box listens for callers. */
    kernel::Endpoint callerAt(std::size_t index) const { return contextOf(index).settings.caller; }

    /** Where it answers operators. */
    kernel::Endpoint controlAt(std::size_t index) const
    {
        return contextOf(index).settings.control;
    }

    /** A box ends without a word, as a process does that is killed. */
    void killBox(std::size_t index);

    /** A box that was killed starts again, with nothing that it knew. */
    void restartBox(std::size_t index);

    /** Whether a box's messages reach the other boxes, and theirs it. */
    void setReachesBoxes(std::size_t index, bool reaches);

    /** Where a box listens for other boxes. */
    kernel::Endpoint boxAt(std::size_t index) const { return contextOf(index).settings.peer; }
    std::uint64_t storeCalls(std::size_t index) const;
    std::uint64_t counter(std::size_t index, const std::string &name,
                          const kernel::Labels &labels = {}) const;

    /** Runs all loops until \a condition holds; throws after a generous while. */
    void until(const std::function<bool()> &condition, const std::string &what);

    standin::StoreStandin &store() { return *store_; }

    /** Lines for the boxes' [gateway] sections; read by startBox(). */
    std::string moreSettings;

protected:
    boost::asio::io_context io_{1};

private:
    struct Box
    {
        Box(kernel::BoxSettings settings, kernel::Endpoint storeOfBox)
            : store(std::move(storeOfBox))
            , context(io, std::move(settings))
        {
        }

        boost::asio::io_context io{1};
        kernel::Endpoint store; ///< Which it reads, also after a restart.
        services::Context context;
        bool frozen = false; ///< Or killed.
    };

    const services::Context &contextOf(std::size_t index) const
    {
        return boxes_.at(index)->context;
    }
    void startServices(std::size_t index, std::uint64_t incarnation);
    kernel::BoxSettings settings(std::size_t index, const kernel::Endpoint &store,
                                 int linkMbps) const;

    kernel::Endpoint storeAt_;
    std::uint16_t peerPort_;
    std::unique_ptr<standin::StoreStandin> store_;
    std::unique_ptr<standin::RunnerStandin> runner_;
    std::vector<std::unique_ptr<Box>> boxes_;
};

} // namespace limereel::support
