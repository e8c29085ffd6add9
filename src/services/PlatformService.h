/** \file
 * The client of the platform's object API. docs/interfaces/platform.md says what it may rely on.
 *
 * Every call counts against this router's share of the platform's rate limits. A call whose answer
 * was lost, and which may have taken effect, is reported differently from a call that certainly had
 * no effect, since only the code that made the call can find out whether a write took effect.
 */
#pragma once

#include "admission/TokenBucket.h"
#include "http/Client.h"
#include "kernel/Kernel.h"
#include "outcome/Claim.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace limereel::services {

/** The result of a call to the platform. */
struct StoreResult
{
    outcome::StoreAnswer answer = outcome::StoreAnswer::Unavailable;
    std::uint64_t version = 0; ///< Version of the object as read or written.
    std::string value;         ///< The object's content as read.
    bool unchanged = false;    ///< The object still has the version that was given.
};

/** The platform's client. */
class PlatformService : public kernel::Service
{
public:
    explicit PlatformService(Context &context);

    std::string_view name() const override { return "platform"; }
    void start() override {}
    void stop() override {}

    /** Reads \a object, such as "settings/tree". */
    boost::asio::awaitable<StoreResult> get(std::string object);

    /** Waits until \a object is no longer at \a version, for at most the watch timeout, and reads
     * it. */
    boost::asio::awaitable<StoreResult> watch(std::string object, std::uint64_t version);

    /** Writes \a value if \a object is at \a version; version 0 means that it doesn't exist yet. */
    boost::asio::awaitable<StoreResult> put(std::string object, std::uint64_t version,
                                            std::string value);

    /** Removes \a object if it is at \a version. */
    boost::asio::awaitable<StoreResult> remove(std::string object, std::uint64_t version);

    /** Reads the list of boxes of \a hall unless it is still at \a version. */
    boost::asio::awaitable<StoreResult> boxes(std::string hall, std::uint64_t version);

    /** Reads the names of all halls. */
    boost::asio::awaitable<StoreResult> halls();

    /** Sets this router's share of the platform's rate limits for a fleet of \a routers. */
    void setFleetSize(std::size_t routers);

    /** Whether the last call was answered. */
    bool reachable() const { return reachable_; }

private:
    enum class Kind : std::uint8_t { Read, Write };

    boost::asio::awaitable<StoreResult> call(Kind kind, http::Request request,
                                             kernel::Duration answerTimeout);
    bool allowed(Kind kind);

    Context &context_;
    admission::TokenBucket reads_;
    admission::TokenBucket writes_;
    bool reachable_ = false;
};

} // namespace limereel::services
