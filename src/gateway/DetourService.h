/** \file
 * Sends requests through other boxes while this box reaches none of their servers, and serves such
 * requests of other boxes. A request takes one such hop at most.
 *
 * Heartbeats tell which boxes serve detours and which services each has lost, so that boxes of
 * earlier versions and boxes that are cut off themselves aren't asked. Whether a way is back is
 * found out by probes, not by callers' requests.
 */
#pragma once

#include "forward/DetourTable.h"
#include "gateway/ConnectionPool.h"
#include "gateway/FeedRelay.h"
#include "peer/DetourMessages.h"
#include "peer/Envelope.h"
#include "services/PeriodicTask.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** HTTP path for detours. */
inline constexpr const char *DetourPath = "/detour";

/** Field by which a box marks an answer as a refusal of its own, not of a backend server. */
inline constexpr const char *DetourRefused = "X-Detour-Refused";

/** Field by which a box tells another one which backend server began the stream that it sends. */
inline constexpr const char *DetourOrigin = "X-Detour-Origin";

/** Field by which a box tells the one that asked how often servers were sent the request. */
inline constexpr const char *DetourSends = "X-Detour-Sends";

/** A box through which a request may be sent. */
struct DetourBox
{
    std::uint64_t box = 0;
    std::string name;
    forward::ListedServer endpoint; ///< Its peer address, in the form that connection pools take.
};

/** Detours of this box and of others. */
class DetourService : public kernel::Service
{
public:
    DetourService(services::Context &context, FleetView &fleetView, FeedRelay &relay);

    std::string_view name() const override { return "detours"; }
    void start() override;
    void stop() override;

    /** Chooses a box through which a request for \a service may be sent; nothing if there is none.
     * \param tried boxes that the request has asked already. */
    std::optional<DetourBox> choose(const std::string &service,
                                    const std::vector<std::uint64_t> &tried);

    /** The sealed form of a request that is to be sent through another box. */
    http::Request seal(const DetourBox &box, const peer::DetourRequest &request) const;

    forward::DetourTable &table() { return table_; }
    ConnectionPool &pool() { return pool_; }

    /** Sets what serves the requests of other boxes. */
    using Handler = std::function<boost::asio::awaitable<void>(peer::DetourRequest, http::Reply &)>;
    void setHandler(Handler handler) { handler_ = std::move(handler); }

    /** Number of requests of other boxes that are being served. */
    std::size_t serving() const { return *serving_; }

private:
    /** A box that serves detours. */
    struct KnownBox
    {
        forward::DetourCandidate candidate;
        std::vector<membership::ShortHash> lostServices;
    };

    void completeState(membership::BoxState &state) const;
    void learnBoxes();
    boost::asio::awaitable<kernel::Duration> probeLostServices();
    boost::asio::awaitable<void> probe(forward::ListedServer server);
    std::optional<forward::ListedServer> randomServer(const std::string &service);
    boost::asio::awaitable<void> serve(http::Request request, http::Reply &reply);

    services::Context &context_;
    FleetView &fleetView_;
    FeedRelay &relay_;
    std::vector<peer::PeerKey> keys_;
    ConnectionPool pool_;
    forward::DetourTable table_;
    std::vector<KnownBox> known_;
    std::vector<std::string> lostServices_; ///< As they were last published.
    Handler handler_;
    /** Requests of other boxes under way, which may be destroyed after this service. */
    std::shared_ptr<std::size_t> serving_ = std::make_shared<std::size_t>(0);
    std::unique_ptr<services::PeriodicTask> probes_;
};

} // namespace limereel::gateway
