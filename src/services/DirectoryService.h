/** \file
 * Keeps the platform's lists of boxes and backend servers at hand: the own hall's list often, the
 * other halls' seldom. When the platform is away the last lists stay.
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

/** The lists. */
class DirectoryService : public kernel::Service
{
public:
    explicit DirectoryService(Context &context);

    std::string_view name() const override { return "directory"; }
    void start() override;
    void stop() override;

    /** The own hall's list as last read; empty lists before that. */
    const store::HallList &own() const { return own_.list; }

    /** Whether the own hall's list was ever read. */
    bool known() const { return own_.version != 0; }

    /** The other halls' lists as last read. */
    const std::map<std::string, store::HallList> &others() const { return others_; }

    /** Counts the changes of the own list, so that readers know when to look again. */
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
    void tellFleetSize();

    Context &context_;
    Versioned own_;
    std::map<std::string, store::HallList> others_;
    std::map<std::string, std::uint64_t> otherVersions_;
    std::uint64_t changes_ = 0;
    int doubts_ = 0; ///< Reads in a row that gave an implausible list.
    std::optional<kernel::Instant> othersRead_;
    store::Backoff backoff_;
    std::unique_ptr<PeriodicTask> loop_;
};

} // namespace limereel::services
