/** \file
 * A caller's connection between two requests. It holds nothing, so a drain may close it at once;
 * the limits may change while it rests, so a server keeps a list of all that do.
 */
#pragma once

#include "http/TimeLimit.h"

#include <boost/asio/ip/tcp.hpp>
#include <set>

namespace limereel::http {

class Rest;
using Rests = std::set<Rest *>;

/** One rest. */
class Rest
{
public:
    /** \param rests lists it for as long as it lasts. \param longest after which \a limit closes
     * \a socket. */
    Rest(Rests &rests, boost::asio::ip::tcp::socket &socket, TimeLimit &limit,
         kernel::Duration longest);
    ~Rest();
    Rest(const Rest &) = delete;
    Rest &operator=(const Rest &) = delete;

    /** It may last for \a longest since it began; never less than before. */
    void extendTo(kernel::Duration longest);

    /** Ends the wait for the next request. */
    void cancel();

    /** Whether the next request, or a part of it, has arrived. */
    bool hasRequest() const;

private:
    Rests &rests_;
    boost::asio::ip::tcp::socket &socket_;
    TimeLimit &limit_;
    const kernel::Instant since_;
    kernel::Instant until_{}; ///< It is closed then.
};

} // namespace limereel::http
