/** \file
 * Answers other boxes of the hall that ask what the store holds (peer/FeedMessages.h): over HTTP on
 * TCP, at the same port number as the peer datagrams, in the same authenticated envelope. TCP is
 * used because an answer may be longer than a datagram and many asks are held open at once.
 */
#pragma once

#include "gateway/FleetView.h"
#include "http/Server.h"
#include "peer/Envelope.h"
#include "store/AnswerBudget.h"

#include <map>
#include <memory>
#include <string>

namespace limereel::gateway {

/** HTTP path for asks. */
inline constexpr const char *FeedPath = "/feed";

/** Serves the feeds of this box to other boxes, and what other services add at paths of their own.
 */
class FeedRelay : public kernel::Service
{
public:
    FeedRelay(services::Context &context, FleetView &fleetView);

    /** Adds what answers other boxes at \a path. */
    void addPath(const std::string &path, http::Handler handler)
    {
        otherPaths_[path] = std::move(handler);
    }

    std::string_view name() const override { return "relay"; }
    void start() override;
    void stop() override;

private:
    http::ServerLimits limits() const;
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> answerAsk(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> waitForNews(ObjectFeed &feed, const peer::FeedAsk &ask);
    std::optional<peer::FeedAsk> read(const http::Request &request) const;
    http::Answer write(const ObjectFeed &feed, const peer::FeedAsk &ask, kernel::Instant question);

    services::Context &context_;
    FleetView &fleetView_;
    std::vector<peer::PeerKey> keys_;
    std::shared_ptr<store::AnswerBudget> room_; ///< Shared with answers that outlive the service.
    std::map<std::string, http::Handler> otherPaths_;
    std::unique_ptr<http::Server> server_;
};

} // namespace limereel::gateway
