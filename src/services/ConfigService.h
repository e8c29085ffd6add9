/** \file
 * Keeps the settings tree in force on this box up to date, and applies operators' updates.
 *
 * One box of the hall, chosen by rendezvous hashing, watches the platform. The other boxes see from
 * the revisions in the heartbeats that they are behind, and fetch the missing updates from a box
 * that is ahead. So the platform serves only one long poll per hall, and a hall that is cut off
 * from the platform still distributes the newest revision that any of its boxes has. If the
 * platform was restored to older data, the newer tree is written back to it.
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

/** The settings tree in force on a box. */
class ConfigService : public kernel::Service
{
public:
    explicit ConfigService(Context &context);

    std::string_view name() const override { return "config"; }
    void start() override;
    void stop() override;

    bool ready() const { return !installed_.empty(); }
    const config::Installed &installed() const { return installed_; }

    /** The effective settings, with inheritance resolved. Must not be called before ready(). */
    const config::EffectiveSettings &effective() const { return *effective_; }

    /** Applies \a changes, which the operator made against revision \a base, as one update.
     * \return the new revision. */
    boost::asio::awaitable<tl::expected<std::uint64_t, UpdateRefusal>>
    update(std::vector<config::Change> changes, std::uint64_t base, std::string author);

    /** The revision of each box, by hall and box name. Other halls' revisions are those that their
     * watching box last wrote to the platform. */
    boost::asio::awaitable<std::map<std::string, std::map<std::string, std::uint64_t>>> status();

private:
    bool isWatcher() const;
    boost::asio::awaitable<kernel::Duration> watchRound();
    boost::asio::awaitable<kernel::Duration> fetchRound();
    boost::asio::awaitable<void> repair(std::uint64_t version);
    boost::asio::awaitable<void> writeStatus();
    std::map<std::string, std::uint64_t> hallRevisions() const;
    void offer(config::Tree tree, const std::string &source);
    void handleOfferResult(config::OfferResult result, const std::string &source);
    std::string answer(const std::string &request) const;
    void applyAnswer(const std::string &text, const std::string &source);
    boost::asio::awaitable<std::optional<tl::expected<std::uint64_t, UpdateRefusal>>>
    tryUpdate(const config::Update &wanted, std::uint64_t base);

    Context &context_;
    config::Installed installed_;
    std::shared_ptr<const config::EffectiveSettings> effective_;
    std::uint64_t seenVersion_ =
            0; ///< Version of the platform's object when it was last read or written.
    bool hasRead_ = false;
    std::map<std::string, std::uint64_t> writtenStatus_;
    store::Backoff backoff_;
    std::unique_ptr<SettingsExchange> exchange_;
    std::unique_ptr<PeriodicTask> watchLoop_;
    std::unique_ptr<PeriodicTask> fetchLoop_;
};

} // namespace limereel::services
