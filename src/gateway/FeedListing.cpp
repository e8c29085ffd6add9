#include "gateway/ObjectFeed.h"

#include "gateway/KeptObjects.h"
#include "kernel/Log.h"
#include "store/ListWait.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr int Good = 200;
constexpr int NotFound = 404;

// Of a list that was one in part before, if its pages fail.
constexpr kernel::Duration MaxRelistingTime = 1s;

// How long a box that starts waits for the next page of a list before it uses what it has read.
kernel::Duration waitForRest(store::PageFault fault)
{
    // Shorter than the wait for one answer, so that a silent store is asked only once.
    constexpr kernel::Duration OfFailingStore = 800ms;
    // Many boxes that start together keep the store busy, and each page soon comes.
    constexpr kernel::Duration OfBusyStore = 1500ms;
    return fault == store::PageFault::Busy ? OfBusyStore : OfFailingStore;
}

const kernel::Log &log()
{
    static const kernel::Log Log("feed");
    return Log;
}

} // namespace

asio::awaitable<bool> ObjectFeed::list()
{
    const kernel::Instant now = context_.now();
    if (!mayContinueList(now)) {
        const bool begun = listing_ && !listing_->objects.empty();
        listTookTooLong_ = begun && now - listing_->begun > MaxListingTime;
        listing_ = Listing{now, now, 0, 0, {}, {}, {}};
    }
    auto progress = store::ListProgress::Reading;
    while (progress == store::ListProgress::Reading) {
        const bool first = listing_->objects.empty();
        const auto read = co_await readPage();
        co_await useReadPart();
        if (!read) {
            co_return false;
        }
        progress = *read;
        if (progress == store::ListProgress::Reading && first && !readsStoreDirectly()) {
            co_return true;
        }
    }
    Listing listing = std::move(*listing_);
    listing_.reset();
    tooLarge_ = false;
    historyLost_.reset();
    if (!at_) {
        listedFirst_ = listing.begun;
    }
    if (progress == store::ListProgress::Complete) {
        co_await applyList(std::move(listing));
    } else {
        co_await applyPartialList(std::move(listing));
    }
    co_await yieldToLoop();
    co_return true;
}

bool ObjectFeed::mayContinueList(kernel::Instant now) const
{
    if (!listing_ || listing_->objects.empty()) {
        return false;
    }
    // A relay may have reported a newer state since the first page was read.
    const bool outdated = listing_->at < at_.value_or(0);
    return !outdated && now - listing_->begun <= MaxListingTime;
}

// Returns nullopt if the page didn't come and may come after a pause.
asio::awaitable<std::optional<store::ListProgress>> ObjectFeed::readPage()
{
    const store::ListCursor &cursor = listing_->cursor;
    if (!onlyName_.empty() && !cursor.after().empty()) {
        co_return co_await readOnlyObject();
    }
    std::string target = format_.listTarget(kind_, cursor.after());
    lastCall_ = {"list", cursor.after(), cursor.read(), {}, "adds nothing"};
    const kernel::Instant asked = context_.now();
    const kernel::Duration timeout =
            store::pageWait(paces_.alone, book_.storeFailures(), at_.has_value());
    const auto answer =
            co_await askStore(std::move(target), {timeout, timeout, timeout + MaxListingTime});
    if (!answer) {
        co_return notePageFault(store::PageFault::Failed, answer.error());
    }
    if (answer->status != Good) {
        co_return notePageFault(store::pageFault(answer->status),
                                "status " + std::to_string(answer->status));
    }
    latency_ = context_.now() - asked;
    const std::size_t bytes = answer->body.size();
    json body = co_await json_.read(answer->body);
    auto page = format_.readPage(std::move(body));
    if (!page) {
        co_return notePageFault(store::PageFault::Failed,
                                "the list can't be read, " + page.error());
    }
    noteUnreadable(page->unreadable);
    co_return appendPage(std::move(*page), bytes);
}

// Its state is as new as the first page's or newer, and the watch starts from that.
asio::awaitable<std::optional<store::ListProgress>> ObjectFeed::readOnlyObject()
{
    lastCall_ = {"object", {}, listing_->cursor.read(), {}, {}};
    const kernel::Duration timeout =
            store::pageWait(paces_.alone, book_.storeFailures(), at_.has_value());
    const auto answer = co_await askStore(format_.objectTarget(kind_, onlyName_),
                                          {timeout, timeout, timeout + MaxListingTime});
    if (answer && answer->status == NotFound) {
        co_return store::ListProgress::Complete;
    }
    if (!answer || answer->status != Good) {
        noteFailure(answer ? "status " + std::to_string(answer->status) : answer.error());
        co_return std::nullopt;
    }
    json body = co_await json_.read(answer->body);
    auto object = format_.readObject(std::move(body));
    if (!object) {
        noteFailure("the object can't be read, " + object.error());
        co_return std::nullopt;
    }
    store::ObjectPage page;
    page.objects.push_back(std::move(*object));
    appendPage(std::move(page), answer->body.size());
    co_return store::ListProgress::Complete;
}

bool ObjectFeed::holdsOnlyObject() const
{
    return !onlyName_.empty()
           && std::ranges::find(listing_->objects, onlyName_, &store::StoredObject::name)
                      != listing_->objects.end();
}

// Decides where the list goes on; nullopt: with the same call or an earlier name, after a pause.
std::optional<store::ListProgress> ObjectFeed::notePageFault(store::PageFault fault,
                                                             const std::string &what)
{
    store::ListCursor &cursor = listing_->cursor;
    lastCall_.fault = fault;
    lastCall_.why = what;
    if (cursor.after().empty()) {
        noteFailure(what);
        return std::nullopt;
    }
    if (fault == store::PageFault::Failed) {
        storeConnection_.close();
    }
    // A box learns no changes while it lists, so a list that fails isn't tried for long.
    if (cursor.blamesName(fault)) {
        context_.counters.add("list_names_refused", {{"kind", kind_}});
        const kernel::Duration longest = partial_ ? MaxRelistingTime : MaxListingTime;
        const bool tookTooLong = context_.now() - listing_->begun > longest;
        return tookTooLong ? store::ListProgress::Partial : cursor.fail(fault);
    }
    const bool mayTryAgain = !partial_ && !listTookTooLong_;
    if (mayTryAgain && cursor.fail(fault) == store::ListProgress::Reading) {
        noteFailure(what);
        return std::nullopt;
    }
    return store::ListProgress::Partial;
}

asio::awaitable<void> ObjectFeed::applyList(Listing listing)
{
    partial_.reset();
    noteStoreAnswer();
    at_ = std::max(at_.value_or(0), listing.at);
    co_await yieldToLoop();
    record_.replace(std::move(listing.kept), listing.at, reportedAt_);
    co_await deliver(listing.objects);
    deliverNames(listing.objects);
    confirm(listing.begun);
    notifyWaiters();
}

// Uses what was read of a list whose next page fails, if the box has nothing else.
asio::awaitable<void> ObjectFeed::useReadPart()
{
    const bool hasOther = at_ || partial_;
    if (hasOther || listing_->objects.size() == listing_->inUse
        || context_.now() - listing_->pageAt < waitForRest(lastCall_.fault)) {
        co_return;
    }
    const auto part = std::span(listing_->objects).subspan(listing_->inUse);
    listing_->inUse = listing_->objects.size();
    co_await deliver(part);
    hooks_.listPartial();
}

// What was read is used, and nothing counts as gone that wasn't. It is neither confirmed nor passed
// on, since what it lacks isn't known. Other boxes don't wait for it.
asio::awaitable<void> ObjectFeed::applyPartialList(Listing listing)
{
    const kernel::Instant now = context_.now();
    const kernel::Instant begun = partial_ ? partial_->begun : now;
    const kernel::Duration pause =
            store::relistPause(now - begun, readsStoreDirectly(), context_.random);
    // What was removed isn't seen in a part of a list, so the watch goes on where the last one
    // ended.
    const std::uint64_t watched = partial_ ? partial_->at : at_.value_or(listing.at);
    partial_ = PartialList{std::min(watched, listing.at), listing.at, begun, now + pause};
    noteStoreAnswer();
    context_.counters.add("lists_partial", {{"kind", kind_}});
    log().event("list-partial",
                {{"kind", kind_},
                 {"after", kernel::shortName(lastCall_.after)},
                 {"why", lastCall_.why},
                 {"read", listing.cursor.read()}},
                "A page of the store's list can't be had; what was read is used.");
    notifyWaiters();
    co_await yieldToLoop();
    co_await deliver(listing.objects);
    hooks_.listPartial();
}

// Changes between two pages come with the watch, which starts from the first page's revision.
store::ListProgress ObjectFeed::appendPage(store::ObjectPage page, std::size_t bytes)
{
    if (listing_->objects.empty()) {
        listing_->at = page.at;
    }
    listing_->pageAt = context_.now();
    const store::ListProgress progress = listing_->cursor.take(page);
    std::ranges::move(keptObjects(page.objects, bytes, readsStoreDirectly()),
                      std::back_inserter(listing_->kept));
    std::ranges::move(page.objects, std::back_inserter(listing_->objects));
    return holdsOnlyObject() ? store::ListProgress::Complete : progress;
}

} // namespace limereel::gateway
