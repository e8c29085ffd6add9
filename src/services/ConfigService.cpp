#include "services/ConfigService.h"

#include "config/TreeJson.h"
#include "config/Values.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "services/DirectoryService.h"
#include "services/MembershipService.h"
#include "services/PlatformService.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <ctime>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using config::OfferResult;
using config::Tree;
using config::Update;
using nlohmann::json;
using outcome::StoreAnswer;

namespace {

const std::string TreeObject = "settings/tree";
constexpr kernel::Duration InitialBackoff = 250ms;
constexpr kernel::Duration MaxBackoff = 5s;
constexpr int MaxUpdateTries = 6;

const kernel::Log &log()
{
    static const kernel::Log Log("config");
    return Log;
}

std::string utcNow()
{
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

std::string statusObject(const std::string &hall)
{
    return "settings-status/" + hall;
}

UpdateRefusal refusal(UpdateRefusal::Kind kind, std::string message)
{
    return {.kind = kind, .problems = {}, .conflicts = {}, .message = std::move(message)};
}

/** The tree read from the platform and its version; an empty tree if the platform has none yet. */
struct ReadTree
{
    Tree tree;
    std::uint64_t version = 0;
};

std::optional<ReadTree> readTree(const StoreResult &result)
{
    if (result.answer == StoreAnswer::Absent) {
        return ReadTree{config::emptyTree(), 0};
    }
    auto tree =
            result.answer == StoreAnswer::Done ? config::treeFromJson(result.value) : std::nullopt;
    return tree ? std::optional(ReadTree{std::move(*tree), result.version}) : std::nullopt;
}

} // namespace

ConfigService::ConfigService(Context &context)
    : context_(context)
    , backoff_(InitialBackoff, MaxBackoff)
{
}

void ConfigService::start()
{
    exchange_ = std::make_unique<SettingsExchange>(
            context_, [this](const std::string &request) { return answer(request); });
    auto &membership = context_.kernel.find<MembershipService>("membership");
    membership.beforeHeartbeat(
            [this](membership::BoxState &state) { state.configRevision = installed_.revision(); });
    membership.afterHeartbeat([this] { fetchLoop_->hurry(); });
    watchLoop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return watchRound(); });
    fetchLoop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return fetchRound(); });
}

void ConfigService::stop()
{
    watchLoop_.reset();
    fetchLoop_.reset();
    exchange_.reset();
}

bool ConfigService::isWatcher() const
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const std::uint64_t watch = kernel::hashOf("settings-watch/" + context_.settings.hall.text());
    const auto owner = membership::ownerOf(watch, membership.owners());
    // A leaving box that is alone in the hall finds no owner and keeps watching.
    return !owner || *owner == membership.self();
}

asio::awaitable<kernel::Duration> ConfigService::watchRound()
{
    // A box without any settings reads them itself, even if another box watches.
    if (!isWatcher() && ready()) {
        co_return context_.settings.heartbeatPeriod;
    }
    auto &platform = context_.kernel.find<PlatformService>("platform");
    StoreResult result;
    if (hasRead_ && ready()) {
        result = co_await platform.watch(TreeObject, seenVersion_);
    } else {
        result = co_await platform.get(TreeObject);
    }
    const auto read = readTree(result);
    if (!read && !result.unchanged) {
        co_return backoff_.fail(context_.random);
    }
    backoff_.succeed();
    hasRead_ = true;
    if (!result.unchanged) {
        seenVersion_ = read->version;
        const std::uint64_t revision = read->tree.revision;
        if (read->version != 0) {
            offer(read->tree, "the platform");
        }
        if (revision < installed_.revision()) {
            co_await repair(read->version);
        }
        if (read->version == 0 && !ready()) {
            co_return InitialBackoff * 2;
        }
    }
    co_await writeStatus();
    co_return kernel::Duration(10ms);
}

asio::awaitable<kernel::Duration> ConfigService::fetchRound()
{
    auto &membership = context_.kernel.find<MembershipService>("membership");
    std::vector<std::uint64_t> ahead;
    for (const auto &state : membership.states()) {
        if (state.configRevision > installed_.revision()) {
            ahead.push_back(state.box);
        }
    }
    if (ahead.empty()) {
        co_return context_.settings.heartbeatPeriod;
    }
    std::ranges::shuffle(ahead, context_.random);
    const auto where = membership.addressOf(ahead.front());
    if (!where) {
        co_return context_.settings.heartbeatPeriod;
    }
    context_.counters.add("settings_fetches");
    const auto text = co_await exchange_->ask(*where, std::to_string(installed_.revision()));
    if (text) {
        applyAnswer(*text, membership.nameOf(ahead.front()));
    }
    co_return context_.settings.heartbeatPeriod;
}

// Writes the tree in force back to a platform that has an older one because it was restored.
// Accepted updates must not be reverted. The write is conditional, so that only one box makes it.
asio::awaitable<void> ConfigService::repair(std::uint64_t version)
{
    log().warn("The platform holds an older revision than the one in force; the newer tree is "
               "written back.");
    context_.counters.add("settings_repairs");
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult result =
            co_await platform.put(TreeObject, version, config::toJson(installed_.tree()));
    if (result.answer == StoreAnswer::Done) {
        seenVersion_ = result.version;
    }
}

asio::awaitable<void> ConfigService::writeStatus()
{
    const auto revisions = hallRevisions();
    if (revisions == writtenStatus_ || !isWatcher()) {
        co_return;
    }
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const std::string object = statusObject(context_.settings.hall.text());
    const StoreResult old = co_await platform.get(object);
    if (old.answer != StoreAnswer::Done && old.answer != StoreAnswer::Absent) {
        co_return;
    }
    const StoreResult written = co_await platform.put(object, old.version, json(revisions).dump());
    if (written.answer == StoreAnswer::Done) {
        writtenStatus_ = revisions;
    }
}

std::map<std::string, std::uint64_t> ConfigService::hallRevisions() const
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    std::map<std::string, std::uint64_t> revisions;
    for (const auto &state : membership.states()) {
        revisions[membership.nameOf(state.box)] = state.configRevision;
    }
    revisions[context_.settings.box.text()] = installed_.revision();
    return revisions;
}

void ConfigService::offer(Tree tree, const std::string &source)
{
    handleOfferResult(installed_.offer(std::move(tree)), source);
}

void ConfigService::handleOfferResult(OfferResult result, const std::string &source)
{
    context_.counters.add("settings_offers", {{"result", config::text(result)}});
    switch (result) {
    case OfferResult::Installed:
        effective_ = std::make_shared<const config::EffectiveSettings>(installed_.tree());
        log().info("Revision " + std::to_string(installed_.revision()) + " is in force, from "
                   + source + ".");
        context_.kernel.find<MembershipService>("membership").hurry();
        break;
    case OfferResult::Divergent:
        log().error("Another tree of revision " + std::to_string(installed_.revision())
                    + " came from " + source
                    + "; ours stays in force. See OPERATIONS.md, 'Divergent settings'.");
        break;
    case OfferResult::Invalid:
        log().error("A tree that breaks the rules came from " + source + "; it is rejected.");
        break;
    case OfferResult::Same:
    case OfferResult::Older:
    case OfferResult::Gap:
        break;
    }
}

std::string ConfigService::answer(const std::string &request) const
{
    const auto revision = config::toInteger(request);
    if (!ready() || !revision) {
        return "{}";
    }
    const Tree &tree = installed_.tree();
    const auto updates =
            *revision == 0 ? std::nullopt
                           : config::updatesSince(tree, static_cast<std::uint64_t>(*revision));
    if (!updates) {
        return json{{"tree", config::toJson(tree)}}.dump();
    }
    return json{{"updates", config::toJson(*updates)}, {"digest", config::digestOf(tree)}}.dump();
}

void ConfigService::applyAnswer(const std::string &text, const std::string &source)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return;
    }
    if (object.contains("tree") && object["tree"].is_string()) {
        if (auto tree = config::treeFromJson(object["tree"].get<std::string>())) {
            offer(std::move(*tree), source);
        }
        return;
    }
    if (object.contains("updates") && object["updates"].is_string() && object.contains("digest")) {
        if (const auto updates = config::updatesFromJson(object["updates"].get<std::string>())) {
            handleOfferResult(
                    installed_.offerUpdates(*updates, object["digest"].get<std::uint64_t>()),
                    source);
        }
    }
}

asio::awaitable<tl::expected<std::uint64_t, UpdateRefusal>>
ConfigService::update(std::vector<config::Change> changes, std::uint64_t base, std::string author)
{
    Update wanted{.revision = 0,
                  .id = {},
                  .author = std::move(author),
                  .at = utcNow(),
                  .changes = std::move(changes)};
    wanted.id = context_.settings.box.text() + "-" + std::to_string(context_.incarnation) + "-"
                + std::to_string(context_.random());
    store::Backoff pause(50ms, 1s);
    for (int tries = 0; tries < MaxUpdateTries; ++tries) {
        const auto result = co_await tryUpdate(wanted, base);
        if (result) {
            co_return *result;
        }
        asio::steady_timer timer(context_.io, pause.fail(context_.random));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return tl::unexpected(refusal(
            UpdateRefusal::Kind::Unknown,
            "the platform didn't say whether the update was accepted; look at 'config history' for "
            "update "
                    + wanted.id + " before trying again"));
}

// Makes one read and one conditional write. Returns nothing if the caller should try again. That is
// safe: an update that took effect although its answer was lost is found in the history by its id.
asio::awaitable<std::optional<tl::expected<std::uint64_t, UpdateRefusal>>>
ConfigService::tryUpdate(const Update &wanted, std::uint64_t base)
{
    using Kind = UpdateRefusal::Kind;
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult result = co_await platform.get(TreeObject);
    const auto read = readTree(result);
    if (!read) {
        co_return std::nullopt;
    }
    const Tree &tree = read->tree;
    const auto own = std::ranges::find(tree.history, wanted.id, &Update::id);
    if (own != tree.history.end()) {
        offer(tree, "the platform");
        co_return tl::expected<std::uint64_t, UpdateRefusal>(own->revision);
    }
    if (tree.revision < installed_.revision()) {
        co_await repair(read->version);
        co_return std::nullopt;
    }
    const auto since = config::updatesSince(tree, base);
    if (!since) {
        co_return tl::expected<std::uint64_t, UpdateRefusal>(tl::unexpected(
                refusal(Kind::Conflict,
                        "the change was made on revision " + std::to_string(base)
                                + ", which is too old to compare with; read the settings again")));
    }
    if (auto found = config::conflicts(wanted.changes, *since); !found.empty()) {
        UpdateRefusal conflict =
                refusal(Kind::Conflict, "others changed the same settings meanwhile");
        conflict.conflicts = std::move(found);
        co_return tl::expected<std::uint64_t, UpdateRefusal>(tl::unexpected(std::move(conflict)));
    }
    Update update = wanted;
    update.revision = tree.revision + 1;
    Tree next = config::applyUpdate(tree, update);
    if (auto problems = config::validate(next); !problems.empty()) {
        UpdateRefusal invalid = refusal(Kind::Invalid, "the settings would break the rules");
        invalid.problems = std::move(problems);
        co_return tl::expected<std::uint64_t, UpdateRefusal>(tl::unexpected(std::move(invalid)));
    }
    const StoreResult written =
            co_await platform.put(TreeObject, read->version, config::toJson(next));
    if (written.answer != StoreAnswer::Done) {
        co_return std::nullopt;
    }
    offer(std::move(next), "an operator");
    co_return tl::expected<std::uint64_t, UpdateRefusal>(update.revision);
}

asio::awaitable<std::map<std::string, std::map<std::string, std::uint64_t>>> ConfigService::status()
{
    std::map<std::string, std::map<std::string, std::uint64_t>> halls;
    auto &platform = context_.kernel.find<PlatformService>("platform");
    for (const auto &[hall, list] : context_.kernel.find<DirectoryService>("directory").others()) {
        const StoreResult result = co_await platform.get(statusObject(hall));
        const json object = json::parse(result.value, nullptr, false);
        if (result.answer == StoreAnswer::Done && object.is_object()) {
            halls[hall] = object.get<std::map<std::string, std::uint64_t>>();
        } else {
            halls[hall] = {};
        }
    }
    halls[context_.settings.hall.text()] = hallRevisions();
    co_return halls;
}

} // namespace limereel::services
