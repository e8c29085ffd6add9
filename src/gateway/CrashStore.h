/** \file
 * Keeps stopped requests in the platform's store, since no box has anything that outlasts its
 * process: when all boxes have lost power at once, the first ones that are back know them.
 *
 * A box reads them once, at its start, and hears of changes from other boxes. The owner of such a
 * request writes it, when it is stopped and again when it is tried in vain. Before a request runs
 * alone its object is asked for: boxes that are cut off from those that stopped it learn so. A few
 * calls a day.
 */
#pragma once

#include "gateway/Adapter.h"
#include "gateway/FeedConnection.h"
#include "services/CrashService.h"
#include "services/PeriodicTask.h"
#include "store/Backoff.h"

#include <map>
#include <memory>
#include <set>

namespace limereel::gateway {

/** The service. */
class CrashStore : public kernel::Service
{
public:
    CrashStore(services::Context &context, const Adapter &adapter, services::CrashService &crashes);

    std::string_view name() const override { return "crash-store"; }
    void start() override;
    void stop() override;

private:
    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<bool> read();
    boost::asio::awaitable<bool> write();
    boost::asio::awaitable<bool> save(forward::CrashRecord record);
    boost::asio::awaitable<bool> remove(forward::RequestIdentity request);
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> ask(http::Request request);
    boost::asio::awaitable<void> lookUp(forward::RequestIdentity request);
    void takeObject(const store::StoredObject &object);
    void noteChange(const forward::CrashRecord &before, const forward::CrashRecord &record);
    void noteFailure(const char *what, const std::string &why);

    services::Context &context_;
    const Adapter &adapter_;
    services::CrashService &crashes_;
    FeedConnection connection_;
    store::Backoff backoff_;
    bool isRead_ = false;
    std::string after_; ///< The last name that was read.
    std::map<forward::RequestIdentity, forward::CrashRecord> saved_; ///< As the store has them.
    std::set<forward::RequestIdentity> toRemove_;
    std::unique_ptr<services::PeriodicTask> loop_;
};

} // namespace limereel::gateway
