/** \file
 * Caches the platform's lists of boxes and backend servers. The list of this box's hall is read
 * often, those of other halls seldom. While the platform is unreachable the last lists stay in use.
 */
#pragma once

#include "services/Context.h"
#include "services/PeriodicTask.h"
#include "store/Backoff.h"
#include "store/Directory.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace limereel::services {

/** The cached lists of all halls. */
class DirectoryService : public kernel::Service
{
public:
    explicit DirectoryService(Context &context);

    std::string_view name() const override { return "directory"; }
    void start() override;
    void stop() override;

    /** The list of this box's hall as last read; empty before the first read. */
    const store::HallList &own() const { return own_.list; }

    /** Whether the list of this box's hall has been read. */
    bool known() const { return own_.version != 0; }

    /** The other halls' lists as last read. */
    const std::map<std::string, store::HallList> &others() const { return others_; }

    /** Number of changes of this hall's list so far. Readers compare it to detect a change. */
    std::uint64_t changes() const { return changes_; }

    /** The backend server whose name has \a hash, in this hall or another one. */
    const store::ListedBackend *findBackend(std::uint64_t hash) const;

private:
    struct Versioned
    {
        std::uint64_t version = 0;
        store::HallList list;
    };

    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<bool> readOwn();
    boost::asio::awaitable<void> readOthers();
    boost::asio::awaitable<void> readOther(std::string hall);
    void updateFleetSize();

    Context &context_;
    Versioned own_;
    std::map<std::string, store::HallList> others_;
    std::map<std::string, std::uint64_t> otherVersions_;
    std::uint64_t changes_ = 0;
    int implausibleReads_ = 0; ///< Consecutive reads that returned an implausible list.
    std::optional<kernel::Instant> othersReadAt_;
    store::Backoff backoff_;
    std::unique_ptr<PeriodicTask> loop_;
};

} // namespace limereel::services
