#include "gateway/CrashStore.h"

#include "http/JsonRepair.h"
#include "kernel/Log.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

using forward::CrashRecord;
using forward::RequestIdentity;
using nlohmann::json;

namespace {

constexpr int Good = 200;
constexpr int Created = 201;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr AnswerWait AnswerTimeouts = {2s, 2s, 5s};
constexpr kernel::Duration LookUpTimeout = 300ms;
constexpr kernel::Duration CheckInterval = 2s;
// Many requests may run alone one after the other, as when servers crash by themselves.
constexpr kernel::Duration LookUpInterval = 10s;
constexpr kernel::Duration FirstPause = 500ms;
constexpr kernel::Duration MaxPause = 8s;
// Spreads the first calls of boxes that start together.
constexpr std::int64_t StartSpreadMs = 300;

const kernel::Log &log()
{
    static const kernel::Log Log("crash-store");
    return Log;
}

json contentOf(const CrashRecord &record)
{
    return {{"round", record.round},
            {"servers", record.servers},
            {"failed_trials", record.failedTrials}};
}

// Throws nlohmann::json::exception if the content isn't as contentOf() writes it.
CrashRecord recordFrom(const RequestIdentity &request, const json &content)
{
    CrashRecord record{.request = request};
    record.round = content.at("round").get<std::uint32_t>();
    record.servers = content.at("servers").get<std::vector<std::uint64_t>>();
    record.failedTrials = content.at("failed_trials").get<std::uint32_t>();
    std::ranges::sort(record.servers);
    return record;
}

} // namespace

CrashStore::CrashStore(services::Context &context, const Adapter &adapter,
                       services::CrashService &crashes)
    : context_(context)
    , adapter_(adapter)
    , crashes_(crashes)
    , client_(context, "crash-store", adapter.crashKind)
    , backoff_(FirstPause, MaxPause)
{
}

void CrashStore::start()
{
    crashes_.onChange([this](const CrashRecord &before, const CrashRecord &record) {
        noteChange(before, record);
    });
    crashes_.setLookUp([this](RequestIdentity request) { return lookUp(request); });
    loop_ = std::make_unique<services::PeriodicTask>(context_.io, [this] { return round(); });
}

void CrashStore::stop()
{
    loop_.reset();
    client_.close();
}

void CrashStore::noteChange(const CrashRecord &before, const CrashRecord &record)
{
    const bool stopped = forward::netFailedTrials(record) > 0;
    const bool lifted = forward::netFailedTrials(before) > 0 && !stopped;
    if (lifted && crashes_.owns(record.request)) {
        toRemove_.insert(record.request);
    }
    if (stopped) {
        toRemove_.erase(record.request);
    }
    if (lifted || stopped) {
        loop_->hurry();
    }
}

asio::awaitable<kernel::Duration> CrashStore::round()
{
    if (!fullyRead_ && cursor_.after().empty() && backoff_.failures() == 0) {
        asio::steady_timer spread(
                context_.io, 1ms * static_cast<std::int64_t>(context_.random() % StartSpreadMs));
        co_await spread.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const bool read = co_await this->read();
    const bool written = co_await write();
    client_.close();
    if (read && written) {
        backoff_.succeed();
        co_return CheckInterval;
    }
    co_return backoff_.fail(context_.random);
}

// Returns false if something remains to be read.
asio::awaitable<bool> CrashStore::read()
{
    while (!fullyRead_) {
        auto page = co_await client_.readPage(adapter_.store, cursor_.after(), AnswerTimeouts);
        const bool pause = !page && !cursor_.blamesName(page.error().fault);
        const store::ListProgress progress = page ? takePage(*page) : skipPage(page.error());
        if (progress == store::ListProgress::Partial) {
            noteFailure("read", "the list was read in part");
            cursor_ = store::ListCursor();
            co_return false;
        }
        if (pause) {
            co_return false;
        }
        fullyRead_ = progress == store::ListProgress::Complete;
    }
    co_return true;
}

store::ListProgress CrashStore::takePage(store::ObjectPage &page)
{
    const store::ListProgress progress = cursor_.take(page);
    for (const store::StoredObject &object : page.objects) {
        takeObject(object);
    }
    return progress;
}

store::ListProgress CrashStore::skipPage(const PageError &error)
{
    noteFailure("read", error.why);
    return cursor_.fail(error.fault);
}

// Reads the record of one request. If the store doesn't answer, the decision rests on what this box
// knows.
asio::awaitable<void> CrashStore::lookUp(RequestIdentity request)
{
    const kernel::Instant now = context_.now();
    std::erase_if(lookedUp_,
                  [now](const auto &item) { return now - item.second >= LookUpInterval; });
    if (!lookedUp_.try_emplace(request, now).second) {
        co_return;
    }
    const std::string name = forward::text(request);
    http::Request question("GET", adapter_.store.objectTarget(adapter_.crashKind, name));
    question.fields.add("Host", kernel::text(context_.settings.platform));
    context_.counters.add("store_calls", {{"kind", adapter_.crashKind}});
    const http::CallTimeouts quick{LookUpTimeout, LookUpTimeout, LookUpTimeout};
    const auto answer = co_await http::call(context_.io, context_.settings.platform,
                                            std::move(question), quick);
    if (!answer || (answer->status != Good && answer->status != NotFound)) {
        noteFailure("look-up", answer ? std::to_string(answer->status) : answer.error().message);
    } else if (answer->status == Good) {
        const auto object = adapter_.store.readObject(http::parseStored(answer->body));
        if (object) {
            takeObject(*object);
        }
    }
}

void CrashStore::takeObject(const store::StoredObject &object)
{
    const auto request = forward::identityFrom(object.name);
    try {
        if (request) {
            const CrashRecord record = recordFrom(*request, object.content);
            saved_[*request] = record;
            crashes_.take(record);
            return;
        }
    } catch (const json::exception &) {
        // Counted below together with objects whose names can't be parsed.
    }
    context_.counters.add("objects_unreadable", {{"kind", adapter_.crashKind}});
    log().event("unreadable", {{"name", kernel::shortName(object.name)}},
                "A stopped request can't be read.");
}

// Returns false if something remains to be written.
asio::awaitable<bool> CrashStore::write()
{
    std::vector<CrashRecord> due;
    for (const CrashRecord &record : crashes_.book().shared()) {
        const auto saved = saved_.find(record.request);
        const bool known = saved != saved_.end() && saved->second == record;
        if (forward::netFailedTrials(record) > 0 && !known && crashes_.owns(record.request)) {
            due.push_back(record);
        }
    }
    bool all = true;
    for (const CrashRecord &record : due) {
        const bool done = co_await save(record);
        all = all && done;
    }
    const std::set<RequestIdentity> lifted = toRemove_;
    for (const RequestIdentity &request : lifted) {
        const bool done = co_await remove(request);
        all = all && done;
    }
    co_return all;
}

asio::awaitable<bool> CrashStore::save(CrashRecord record)
{
    const std::string name = forward::text(record.request);
    const std::string &kind = adapter_.crashKind;
    json body = adapter_.store.writeObject(name, std::nullopt, contentOf(record));
    http::Request request("POST", adapter_.store.listTarget(kind, ""), {}, body.dump());
    auto answer = co_await client_.ask(std::move(request), AnswerTimeouts);
    if (answer && answer->status == Conflict) {
        // The object exists already: replaces it with the merged record.
        const auto there = adapter_.store.readObject(http::parseStored(answer->body));
        if (there) {
            takeObject(*there);
            record = crashes_.book().record(record.request);
            if (saved_[record.request] == record) {
                co_return true;
            }
            json newer = adapter_.store.writeObject(name, there->revision, contentOf(record));
            http::Request replace("PUT", adapter_.store.objectTarget(kind, name), {}, newer.dump());
            answer = co_await client_.ask(std::move(replace), AnswerTimeouts);
        }
    }
    const bool done = answer && (answer->status == Good || answer->status == Created);
    if (!done) {
        noteFailure("write", answer ? std::to_string(answer->status) : answer.error());
        co_return false;
    }
    saved_[record.request] = record;
    log().event("saved", {{"identity", name}}, "A stopped request has been written to the store.");
    co_return true;
}

asio::awaitable<bool> CrashStore::remove(RequestIdentity identity)
{
    std::string target = adapter_.store.objectTarget(adapter_.crashKind, forward::text(identity));
    http::Request request("DELETE", std::move(target));
    const auto answer = co_await client_.ask(std::move(request), AnswerTimeouts);
    if (!answer || (answer->status != Good && answer->status != NotFound)) {
        noteFailure("remove", answer ? std::to_string(answer->status) : answer.error());
        co_return false;
    }
    saved_.erase(identity);
    toRemove_.erase(identity);
    co_return true;
}

void CrashStore::noteFailure(const char *what, const std::string &why)
{
    context_.counters.add("crash_store_failures", {{"what", what}});
    log().event("failed", {{"what", what}, {"why", why}},
                "Stopped requests can't be read or written at the store now.");
}

} // namespace limereel::gateway
