/** \file
 * Runs an action once an awaited operation is over, whether it has returned or thrown.
 *
 * A destructor would also run where the event loop is destroyed with the operation pending. The
 * services that the action uses are gone by then.
 */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <exception>
#include <functional>
#include <optional>
#include <utility>

namespace limereel::gateway {

/** Awaits \a operation, then calls \a after. \return what the operation has returned. */
template <typename Result>
boost::asio::awaitable<Result> runAfter(boost::asio::awaitable<Result> operation,
                                        std::function<void()> after)
{
    std::exception_ptr fault;
    std::optional<Result> result;
    try {
        result = co_await std::move(operation);
    } catch (...) {
        fault = std::current_exception();
    }
    after();
    if (fault) {
        std::rethrow_exception(fault);
    }
    co_return std::move(*result);
}

} // namespace limereel::gateway
