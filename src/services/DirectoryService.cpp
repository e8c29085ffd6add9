#include "services/DirectoryService.h"

#include "kernel/Log.h"
#include "services/PlatformService.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using outcome::StoreAnswer;

namespace {

// Directory periods between two reads of the other halls' lists, which are needed only when a
// request spills over to another hall.
constexpr int OtherHallsInterval = 20;
constexpr kernel::Duration MaxBackoff = 15s;
constexpr int MaxImplausibleReads =
        30; ///< Consecutive reads after which a list that lost most of the hall is accepted.

const kernel::Log &log()
{
    static const kernel::Log Log("directory");
    return Log;
}

} // namespace

DirectoryService::DirectoryService(Context &context)
    : context_(context)
    , backoff_(context.settings.directoryPeriod, MaxBackoff)
{
}

void DirectoryService::start()
{
    loop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return round(); });
}

void DirectoryService::stop()
{
    loop_.reset();
}

const store::ListedBackend *DirectoryService::findBackend(std::uint64_t hash) const
{
    const auto find = [hash](const store::HallList &list) -> const store::ListedBackend * {
        const auto entry = std::ranges::find_if(list.backends, [hash](const auto &backend) {
            return backend.backend.hash() == hash;
        });
        return entry == list.backends.end() ? nullptr : &*entry;
    };
    if (const auto *const own = find(own_.list); own != nullptr) {
        return own;
    }
    for (const auto &[hall, list] : others_) {
        if (const auto *const other = find(list); other != nullptr) {
            return other;
        }
    }
    return nullptr;
}

asio::awaitable<kernel::Duration> DirectoryService::round()
{
    if (!co_await readOwn()) {
        co_return backoff_.fail(context_.random);
    }
    backoff_.succeed();
    const kernel::Instant now = context_.now();
    if (!othersReadAt_
        || now - *othersReadAt_ >= context_.settings.directoryPeriod * OtherHallsInterval) {
        othersReadAt_ = now;
        co_await readOthers();
        updateFleetSize();
    }
    co_return context_.settings.directoryPeriod;
}

asio::awaitable<bool> DirectoryService::readOwn()
{
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult result = co_await platform.boxes(context_.settings.hall.text(), own_.version);
    if (result.answer != StoreAnswer::Done) {
        co_return false;
    }
    if (result.unchanged) {
        co_return true;
    }
    auto list = store::hallListFromJson(result.value);
    if (!list) {
        log().error("The platform's list of boxes can't be read; the last one stays in use.");
        co_return false;
    }
    if (!store::plausible(own_.list, *list) && ++implausibleReads_ < MaxImplausibleReads) {
        context_.counters.add("directory_doubted");
        if (implausibleReads_ == 1) {
            log().warn("The platform's list has lost more than half of the backend servers; the "
                       "last one stays for a while.");
        }
        co_return true;
    }
    implausibleReads_ = 0;
    if (list->unreadable > 0) {
        context_.counters.add("directory_unreadable", {}, list->unreadable);
        log().event("unreadable", {{"entries", list->unreadable}},
                    "Entries of the platform's list can't be read and are left out.");
    }
    own_ = {result.version, std::move(*list)};
    ++changes_;
    context_.counters.add("directory_changes");
    co_return true;
}

asio::awaitable<void> DirectoryService::readOthers()
{
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult result = co_await platform.halls();
    const auto halls = store::hallNamesFromJson(result.value);
    if (result.answer != StoreAnswer::Done || !halls) {
        co_return;
    }
    for (const std::string &hall : *halls) {
        if (hall != context_.settings.hall.text()) {
            co_await readOther(hall);
        }
    }
}

asio::awaitable<void> DirectoryService::readOther(std::string hall)
{
    auto &platform = context_.kernel.find<PlatformService>("platform");
    const StoreResult result = co_await platform.boxes(hall, otherVersions_[hall]);
    if (result.answer != StoreAnswer::Done || result.unchanged) {
        co_return;
    }
    if (auto list = store::hallListFromJson(result.value)) {
        others_[hall] = std::move(*list);
        otherVersions_[hall] = result.version;
    }
}

void DirectoryService::updateFleetSize()
{
    std::size_t boxes = own_.list.boxes.size();
    for (const auto &[hall, list] : others_) {
        boxes += list.boxes.size();
    }
    context_.kernel.find<PlatformService>("platform").setFleetSize(boxes);
}

} // namespace limereel::services
