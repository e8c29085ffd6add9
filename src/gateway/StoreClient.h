/** \file
 * Calls of a service to the platform's store, one at a time, on a connection of its own, and the
 * pages of lists that it reads.
 */
#pragma once

#include "gateway/FeedConnection.h"
#include "store/ListCursor.h"

#include <string>

namespace limereel::gateway {

/** Why a page didn't come. */
struct PageError
{
    store::PageFault fault{};
    std::string why;

    auto operator<=>(const PageError &) const = default;
};

/** Sends requests to the store and reads whole answers. */
class StoreClient
{
public:
    /** \param name of the connection's timer in the counters.
     * \param kind of the objects that it asks for, for the count of calls. */
    StoreClient(services::Context &context, std::string name, std::string kind)
        : context_(context)
        , kind_(std::move(kind))
        , connection_(context, std::move(name))
    {
    }

    /** The answer to \a request, whatever its status. The error says why there is none. */
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> ask(http::Request request,
                                                                        AnswerWait wait);

    /** The page of the list behind the name \a after; empty: the first one. */
    boost::asio::awaitable<tl::expected<store::ObjectPage, PageError>>
    readPage(const store::ObjectFormat &format, std::string after, AnswerWait wait);

    /** Closes the connection, which makes a running call fail. */
    void close() { connection_.close(); }

private:
    services::Context &context_;
    std::string kind_;
    FeedConnection connection_;
};

} // namespace limereel::gateway
