#include "http/Rest.h"

#include "http/SocketState.h"
#include "http/SteadyClock.h"

namespace limereel::http {

using boost::asio::ip::tcp;

Rest::Rest(Rests &rests, tcp::socket &socket, TimeLimit &limit, kernel::Duration longest)
    : rests_(rests)
    , socket_(socket)
    , limit_(limit)
    , since_(steadyNow())
{
    rests_.insert(this);
    extendTo(longest);
}

Rest::~Rest()
{
    rests_.erase(this);
}

void Rest::extendTo(kernel::Duration longest)
{
    if (since_ + longest > until_) {
        until_ = since_ + longest;
        limit_.expireAt(until_);
    }
}

void Rest::cancel()
{
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

bool Rest::hasRequest() const
{
    return arrivedAt(socket_.native_handle()) == Arrived::Bytes;
}

} // namespace limereel::http
