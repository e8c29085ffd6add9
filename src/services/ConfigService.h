/** \file
 * Keeps the tree of settings in force on this box, and takes operators' updates.
 *
 * One box of the hall, found by rendezvous hashing, watches the platform. The others learn from the
 * revision in the heartbeats that they are behind, and fetch what is missing from a box that is
 * ahead. So the platform carries one waiting watch a hall, and a hall that is cut off from the
 * platform still spreads what any of its boxes has. A platform that was restored to old data is
 * given the newer tree back.
 */
#pragma once

#include "config/Effective.h"
#include "config/Installed.h"
#include "config/Merge.h"
#include "config/Validate.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"
#include "services/SettingsExchange.h"
#include "store/Backoff.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace limereel::services {

struct StoreResult;

/** Why an update was refused. */
struct UpdateRefusal
{
    enum class Kind : std::uint8_t { Invalid, Conflict, Unavailable, Unknown };

    Kind kind = Kind::Invalid;
    std::vector<config::Problem> problems;
    std::vector<config::Conflict> conflicts;
    std::string message;
};

/** The settings tree of a box. */
class ConfigService : public kernel::Service
{
public:
    explicit ConfigService(Context &context);

    std::string_view name() const override { return "config"; }
    void start() override;
    void stop() override;

    bool ready() const { return !installed_.empty(); }
    const config::Installed &installed() const { return installed_; }

    /** The settings in force, worked out; must not be called before ready(). */
    const config::EffectiveSettings &effective() const { return *effective_; }

    /** Makes an update of \a changes that were thought of on the tree of revision \a base. */
    boost::asio::awaitable<tl::expected<std::uint64_t, UpdateRefusal>>
    update(std::vector<config::Change> changes, std::uint64_t base, std::string author);

    /** Which boxes have which revision, by hall, as the halls' watchers last wrote. */
    boost::asio::awaitable<std::map<std::string, std::map<std::string, std::uint64_t>>> status();

private:
    bool isWatcher() const;
    boost::asio::awaitable<kernel::Duration> watchRound();
    boost::asio::awaitable<kernel::Duration> fetchRound();
    boost::asio::awaitable<void> repair(std::uint64_t version);
    boost::asio::awaitable<void> writeStatus();
    std::map<std::string, std::uint64_t> hallRevisions() const;
    void offer(config::Tree tree, const std::string &source);
    void note(config::OfferResult result, const std::string &source);
    std::string answer(const std::string &request) const;
    void takeAnswer(const std::string &text, const std::string &source);
    boost::asio::awaitable<std::optional<tl::expected<std::uint64_t, UpdateRefusal>>>
    tryUpdate(const config::Update &wanted, std::uint64_t base);

    Context &context_;
    config::Installed installed_;
    std::shared_ptr<const config::EffectiveSettings> effective_;
    std::uint64_t seenVersion_ = 0; ///< Of the object on the platform.
    bool everRead_ = false;
    std::map<std::string, std::uint64_t> statusWritten_;
    store::Backoff backoff_;
    std::unique_ptr<SettingsExchange> exchange_;
    std::unique_ptr<PeriodicTask> watchLoop_;
    std::unique_ptr<PeriodicTask> fetchLoop_;
};

} // namespace limereel::services
