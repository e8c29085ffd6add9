/** \file
 * Keeps stopped requests, which are blocked because backend servers crashed while running them, in
 * the platform's store. A box has no storage that outlasts its process; after a power loss of all
 * boxes, the first ones to restart read the stopped requests from the store.
 *
 * A box reads them once, at its start, and learns changes from other boxes. The owner of such a
 * request writes it when it is stopped and again when a trial of it fails. Before a request runs
 * alone, its object is read from the store, so that a box which is cut off from those that stopped
 * the request still learns of it. This takes a few calls a day.
 */
#pragma once

#include "gateway/Adapter.h"
#include "gateway/StoreClient.h"
#include "services/CrashService.h"
#include "services/PeriodicTask.h"
#include "store/Backoff.h"
#include "store/ListCursor.h"

#include <map>
#include <memory>
#include <set>

namespace limereel::gateway {

/** Reads stopped requests from the store and writes them there. */
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
    store::ListProgress takePage(store::ObjectPage &page);
    store::ListProgress skipPage(const PageError &error);
    boost::asio::awaitable<bool> write();
    boost::asio::awaitable<bool> save(forward::CrashRecord record);
    boost::asio::awaitable<bool> remove(forward::RequestIdentity request);
    boost::asio::awaitable<void> lookUp(forward::RequestIdentity request);
    void takeObject(const store::StoredObject &object);
    void noteChange(const forward::CrashRecord &before, const forward::CrashRecord &record);
    void noteFailure(const char *what, const std::string &why);

    services::Context &context_;
    const Adapter &adapter_;
    services::CrashService &crashes_;
    StoreClient client_;
    store::Backoff backoff_;
    bool fullyRead_ = false;
    store::ListCursor cursor_;
    std::map<forward::RequestIdentity, forward::CrashRecord> saved_; ///< Records in the store.
    std::set<forward::RequestIdentity> toRemove_;
    std::map<forward::RequestIdentity, kernel::Instant> lookedUp_; ///< When, lately.
    std::unique_ptr<services::PeriodicTask> loop_;
};

} // namespace limereel::gateway
