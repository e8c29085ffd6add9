#include "gateway/StreamArchive.h"

#include "gateway/ArchivedStreams.h"
#include "gateway/MessageUnits.h"
#include "http/JsonRepair.h"
#include "kernel/Log.h"
#include "services/MembershipService.h"
#include "store/ListCursor.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr int Good = 200;
constexpr int Created = 201;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr AnswerWait WriteTimeouts = {1s, 1s, 2s};
constexpr AnswerWait FirstReadTimeouts = {1s, 1s, 2s};
constexpr kernel::Duration VersionsInterval = 1s;
// Streams that boxes begin later are known to other boxes; the store is for those from before.
constexpr kernel::Duration ReadInterval = 500ms;
constexpr kernel::Duration EmptyReadInterval = 5s;
constexpr std::size_t MaxArchived = 2048;

const kernel::Log &log()
{
    static const kernel::Log Log("stream-archive");
    return Log;
}

std::set<forward::StreamId> idsOf(const std::vector<peer::StreamNote> &notes)
{
    std::set<forward::StreamId> ids;
    for (const peer::StreamNote &note : notes) {
        ids.insert(note.id);
    }
    return ids;
}

} // namespace

StreamArchive::StreamArchive(services::Context &context, FleetView &fleetView,
                             StreamService &streams)
    : context_(context)
    , fleetView_(fleetView)
    , streams_(streams)
    , writes_(context, "stream-archive", fleetView.adapter().streamKind)
    , reads_(context, "stream-archive-read", fleetView.adapter().streamKind)
{
}

void StreamArchive::start()
{
    if (context_.settings.gateway.storeWrites <= 0) {
        return;
    }
    streams_.onNote([this] {
        if (loop_ && versions_.any(context_.now())) {
            loop_->hurry();
        }
    });
    streams_.setRecall([this](kernel::Duration longest) { return recall(longest); });
    loop_ = std::make_unique<services::PeriodicTask>(context_.io, [this] { return round(); });
}

void StreamArchive::stop()
{
    loop_.reset();
    writes_.close();
    reads_.close();
}

kernel::Duration StreamArchive::pause() const
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    const std::size_t boxes = std::max<std::size_t>(1, members.owners().size());
    return forward::archivePause(boxes, context_.settings.gateway.storeWrites);
}

kernel::Duration StreamArchive::untilNextWrite() const
{
    const kernel::Instant now = context_.now();
    return wroteAt_ ? std::max<kernel::Duration>(*wroteAt_ + pause() - now, 0s) : 0s;
}

// Streams that have ended go with the next write.
bool StreamArchive::hasNew(const std::vector<peer::StreamNote> &notes) const
{
    return std::ranges::any_of(
            notes, [this](const peer::StreamNote &note) { return !written_.contains(note.id); });
}

asio::awaitable<kernel::Duration> StreamArchive::round()
{
    updateVersions();
    if (const kernel::Duration left = untilNextWrite(); left > 0s) {
        co_return left;
    }
    std::vector<peer::StreamNote> notes = dueNotes();
    if (notes.empty() && revision_) {
        co_await remove();
    } else if (hasNew(notes)) {
        // What it wrote before its last start is kept, as other boxes may not have read it.
        const bool known = ownRead_ || co_await readOwn();
        if (known) {
            wroteAt_ = context_.now();
            co_await write(dueNotes());
        }
    }
    co_return VersionsInterval;
}

void StreamArchive::updateVersions()
{
    const kernel::Instant now = context_.now();
    if (versionsAt_ && now - *versionsAt_ < VersionsInterval) {
        return;
    }
    versionsAt_ = now;
    forward::MixedVersions::Listed listed;
    fleetView_.servers().forEach([&listed](const forward::ListedServer &server) {
        listed[kernel::hashOf(server.service)].insert(server.version.hash());
    });
    const bool before = versions_.any(now);
    versions_.update(listed, now);
    if (versions_.any(now) != before) {
        context_.counters.add("stream_archive_turns", {{"to", before ? "off" : "on"}});
        log().event(
                before ? "ends" : "begins", {{"pause_ms", pause() / 1ms}},
                "Whether streams are written to the store, as several software versions serve.");
    }
}

std::vector<peer::StreamNote> StreamArchive::dueNotes() const
{
    const kernel::Instant now = context_.now();
    std::vector<peer::StreamNote> notes;
    for (const Carried &carried : carried_) {
        if (now < carried.until) {
            notes.push_back(carried.note);
            notes.back().leftMs = milliseconds(carried.until - now);
        }
    }
    streams_.table().forEach([&](const forward::StreamId &id, const forward::StreamRecord &record) {
        const bool live = record.own && !record.ended && !record.contradicted && now < record.until;
        if (live && notes.size() < MaxArchived && versions_.isMixed(record.origin.service, now)) {
            notes.push_back({id, record.origin, milliseconds(record.until - now)});
        }
    });
    return notes;
}

asio::awaitable<void> StreamArchive::write(std::vector<peer::StreamNote> notes)
{
    const store::ObjectFormat &format = fleetView_.adapter().store;
    const std::string &kind = fleetView_.adapter().streamKind;
    const std::string name = context_.settings.box.text();
    const json body = format.writeObject(name, revision_, archiveContent(notes));
    const bool replaces = revision_.has_value();
    std::string target = replaces ? format.objectTarget(kind, name) : format.listTarget(kind, "");
    http::Request request(replaces ? "PUT" : "POST", std::move(target), {}, body.dump());
    const auto answer = co_await writes_.ask(std::move(request), WriteTimeouts);
    const int status = answer ? answer->status : 0;
    if (status == Good || status == Created || status == Conflict) {
        const auto there = format.readObject(http::parseStored(answer->body));
        revision_ = there ? std::optional(there->revision) : std::nullopt;
    } else if (status == NotFound) {
        revision_.reset();
    }
    const bool done = status == Good || status == Created;
    if (notes.size() >= MaxArchived) {
        noteFailure("write", "there is room for " + std::to_string(MaxArchived) + " streams");
    }
    if (done) {
        written_ = idsOf(notes);
        context_.counters.add("stream_archive_writes", {{"result", "done"}});
    } else {
        noteFailure("write", answer ? std::to_string(status) : answer.error());
    }
}

asio::awaitable<void> StreamArchive::remove()
{
    http::Request request("DELETE",
                          fleetView_.adapter().store.objectTarget(fleetView_.adapter().streamKind,
                                                                  context_.settings.box.text()));
    const auto answer = co_await writes_.ask(std::move(request), WriteTimeouts);
    if (answer && (answer->status == Good || answer->status == NotFound)) {
        revision_.reset();
        written_.clear();
    } else {
        noteFailure("remove", answer ? std::to_string(answer->status) : answer.error());
    }
    writes_.close();
}

bool StreamArchive::readLately() const
{
    const kernel::Duration interval = taken_.empty() ? EmptyReadInterval : ReadInterval;
    return readAt_ && context_.now() - *readAt_ < interval;
}

// Called for a stream that no box knows.
asio::awaitable<void> StreamArchive::recall(kernel::Duration longest)
{
    if (reading_) {
        co_await waitForRead(longest);
    } else if (!readLately()) {
        co_await read({longest, longest, longest});
    }
}

asio::awaitable<void> StreamArchive::waitForRead(kernel::Duration longest)
{
    asio::steady_timer timer(context_.io, longest);
    waiting_.insert(&timer);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(&timer);
}

asio::awaitable<bool> StreamArchive::read(AnswerWait wait)
{
    if (reading_) {
        co_return false;
    }
    reading_ = true;
    const bool done = co_await readPages(wait);
    reading_ = false;
    if (done) {
        readAt_ = context_.now();
    }
    for (asio::steady_timer *timer : waiting_) {
        timer->cancel();
    }
    co_return done;
}

asio::awaitable<bool> StreamArchive::readPages(AnswerWait wait)
{
    const kernel::Instant until = context_.now() + wait.whole;
    store::ListCursor cursor;
    auto progress = store::ListProgress::Reading;
    while (progress == store::ListProgress::Reading) {
        auto page = co_await reads_.readPage(fleetView_.adapter().store, cursor.after(), wait);
        if (page) {
            progress = cursor.take(*page);
            for (const store::StoredObject &object : page->objects) {
                take(object);
            }
            continue;
        }
        noteFailure("read", page.error().why);
        if (!cursor.blamesName(page.error().fault) || context_.now() >= until) {
            co_return false;
        }
        progress = cursor.fail(page.error().fault);
    }
    if (progress == store::ListProgress::Partial) {
        noteFailure("read", "the list was read in part");
    }
    ownRead_ = ownRead_ || progress == store::ListProgress::Complete;
    co_return true;
}

// Reads the list, and this box's own object by its name if the list may lack it.
asio::awaitable<bool> StreamArchive::readOwn()
{
    co_await read(FirstReadTimeouts);
    const bool nothingCame = taken_.empty();
    if (ownRead_ || nothingCame) {
        co_return ownRead_;
    }
    const store::ObjectFormat &format = fleetView_.adapter().store;
    http::Request request("GET", format.objectTarget(fleetView_.adapter().streamKind,
                                                     context_.settings.box.text()));
    const auto answer = co_await writes_.ask(std::move(request), WriteTimeouts);
    if (answer && answer->status == Good) {
        const auto object = format.readObject(http::parseStored(answer->body));
        if (object) {
            take(*object);
        }
        ownRead_ = object.has_value();
    } else if (answer && answer->status == NotFound) {
        ownRead_ = true;
    } else {
        noteFailure("read", answer ? std::to_string(answer->status) : answer.error());
    }
    co_return ownRead_;
}

void StreamArchive::take(const store::StoredObject &object)
{
    const auto before = taken_.find(object.name);
    if (before != taken_.end() && before->second == object.revision) {
        return;
    }
    taken_[object.name] = object.revision;
    const bool own = object.name == context_.settings.box.text();
    const bool first = own && !ownRead_;
    for (const peer::StreamNote &note : notesFromArchive(object.content)) {
        streams_.learn(note);
        if (first) {
            carried_.push_back({note, context_.now() + std::chrono::milliseconds(note.leftMs)});
        }
    }
    if (first) {
        revision_ = object.revision;
    }
}

void StreamArchive::noteFailure(const char *what, const std::string &why)
{
    context_.counters.add("stream_archive_failures", {{"what", what}});
    log().event("failed", {{"what", what}, {"why", why}},
                "Records of streams can't be read or written at the store now.");
}

} // namespace limereel::gateway
