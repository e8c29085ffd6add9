#include "gateway/StreamService.h"

#include "gateway/FleetSight.h"
#include "gateway/MessageUnits.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t Copies = 3;
// One more, as a box may have come since the stream was recorded.
constexpr std::size_t Asked = Copies + 1;
constexpr std::size_t NotesPerMessage = 16; ///< So many fit a datagram that isn't split.
constexpr kernel::Duration SweepInterval = 1s;
constexpr kernel::Duration KeepersAge = 200ms;
constexpr int ObjectiveFraction = 8; ///< Of the objective, this part is spent on asking at most.
constexpr kernel::Duration MaxTimeInHall = 50ms;
constexpr kernel::Duration MaxTimeBetweenHalls = 150ms;

} // namespace

StreamService::StreamService(services::Context &context)
    : context_(context)
{
}

void StreamService::start()
{
    context_.kernel.find<services::PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                receive(message, from);
            });
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    members.beforeHeartbeat([](membership::BoxState &state) { state.keepsStreams = true; });
    members.onNewStates([this] {
        keepersAt_.reset();
        tellNewKeepers();
    });
    sweep_ = std::make_unique<services::PeriodicTask>(
            context_.io, [this]() -> asio::awaitable<kernel::Duration> {
                table_.expire(context_.now());
                tellNewKeepers();
                context_.counters.set("streams_recorded", static_cast<double>(table_.size()));
                co_return kernel::Duration(SweepInterval);
            });
}

void StreamService::stop()
{
    sweep_.reset();
}

// The live boxes that keep records.
const std::vector<forward::StreamKeeper> &StreamService::keepers()
{
    const kernel::Instant now = context_.now();
    if (keepersAt_ && now - *keepersAt_ < KeepersAge) {
        return keepers_;
    }
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    keepers_.clear();
    for (const membership::BoxState &state : members.states()) {
        const bool self = state.box == members.self();
        const bool live = self || members.liveness(state.box) == membership::Liveness::Live;
        if (live && state.keepsStreams && !state.leaving && !(self && leaving_)) {
            keepers_.push_back({state.box, state.hall, state.incarnation});
        }
    }
    keepersAt_ = now;
    return keepers_;
}

void StreamService::send(std::uint64_t box, const peer::Message &message)
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (const auto address = members.addressOf(box)) {
        context_.kernel.find<services::PeerService>("peer").send(*address, message);
    }
}

void StreamService::note(const forward::StreamId &id, const forward::StreamOrigin &origin,
                         kernel::Duration left)
{
    const peer::StreamNote note{id, origin, milliseconds(left)};
    keep(note, true);
    tell({.notes = {note}, .handedOver = leaving_});
    onNote_();
}

void StreamService::keep(const peer::StreamNote &note, bool own)
{
    using Noted = forward::StreamTable::Noted;
    const kernel::Instant until = context_.now() + std::chrono::milliseconds(note.leftMs);
    switch (table_.note(note.id, note.origin, until, own)) {
    case Noted::Added:
        context_.counters.add("stream_records", {{"result", "kept"}});
        break;
    case Noted::Known:
        break;
    case Noted::Contradicted:
        context_.counters.add("stream_records", {{"result", "contradicted"}});
        break;
    case Noted::Full:
        context_.counters.add("stream_records", {{"result", "no-room"}});
        break;
    }
}

void StreamService::tell(const peer::StreamNotes &notes)
{
    const std::uint64_t self =
            context_.kernel.find<services::MembershipService>("membership").self();
    std::map<std::uint64_t, peer::StreamNotes> batches;
    for (const peer::StreamNote &note : notes.notes) {
        for (const forward::StreamKeeper &keeper :
             forward::keepersOf(note.id.request, keepers(), Copies)) {
            if (keeper.box != self) {
                batches[keeper.box].handedOver = notes.handedOver;
                add(note, keeper.box, batches);
            }
        }
    }
    flush(batches);
}

// Notes for the same box go together.
void StreamService::add(const peer::StreamNote &note, std::uint64_t box,
                        std::map<std::uint64_t, peer::StreamNotes> &batches)
{
    peer::StreamNotes &batch = batches[box];
    batch.notes.push_back(note);
    if (batch.notes.size() == NotesPerMessage) {
        send(box, batch);
        batch.notes.clear();
    }
}

void StreamService::flush(std::map<std::uint64_t, peer::StreamNotes> &batches)
{
    for (const auto &[box, batch] : batches) {
        if (!batch.notes.empty()) {
            send(box, batch);
        }
    }
}

// A box that has come, or one that takes the place of a box that has gone, knows nothing yet of the
// streams of this box's callers. As its stream began, this box may also have known no other.
void StreamService::tellNewKeepers()
{
    if (keepers() == toldKeepers_) {
        return;
    }
    std::map<std::uint64_t, peer::StreamNotes> batches;
    table_.forEach([&](const forward::StreamId &id, const forward::StreamRecord &record) {
        if (record.own && !record.contradicted && record.until > context_.now()) {
            tellNewKeepersOf(id, record, batches);
        }
    });
    flush(batches);
    toldKeepers_ = keepers();
}

void StreamService::tellNewKeepersOf(const forward::StreamId &id,
                                     const forward::StreamRecord &record,
                                     std::map<std::uint64_t, peer::StreamNotes> &batches)
{
    const std::uint64_t self =
            context_.kernel.find<services::MembershipService>("membership").self();
    const auto told = forward::keepersOf(id.request, toldKeepers_, Copies);
    const peer::StreamNote note{id, record.origin, milliseconds(record.until - context_.now())};
    for (const forward::StreamKeeper &keeper : forward::keepersOf(id.request, keepers(), Copies)) {
        const bool isNew = std::ranges::find(told, keeper) == told.end();
        if (isNew && keeper.box != self) {
            add(note, keeper.box, batches);
        }
    }
}

void StreamService::beginLeaving()
{
    leaving_ = true;
    keepersAt_.reset();
    const kernel::Instant now = context_.now();
    peer::StreamNotes notes{.notes = {}, .handedOver = true};
    table_.forEach([&](const forward::StreamId &id, const forward::StreamRecord &record) {
        const std::uint32_t leftMs = milliseconds(record.until - now);
        notes.notes.push_back({id, record.origin, leftMs});
        if (record.contradicted) {
            // An unknown origin contradicts any, so that the other boxes know as much.
            notes.notes.push_back({id, {}, leftMs});
        }
    });
    tell(notes);
}

kernel::Duration StreamService::timeFor(const std::vector<forward::StreamKeeper> &asked,
                                        kernel::Duration objective) const
{
    const auto hall = membership::shortHash(context_.settings.hall.hash());
    const bool inHall = std::ranges::all_of(
            asked, [hall](const forward::StreamKeeper &keeper) { return keeper.hall == hall; });
    const kernel::Duration most = inHall ? MaxTimeInHall : MaxTimeBetweenHalls;
    const kernel::Duration share = objective / ObjectiveFraction;
    return share > 0s ? std::min(most, share) : most;
}

// Two boxes that agree on equal requests may both have missed the stream that is asked for.
bool StreamService::Pending::over() const
{
    const bool settled = byAttempt ? sources.settled() : sources.contradicted();
    return settled || unanswered.empty();
}

asio::awaitable<StreamLookup> StreamService::find(forward::StreamId id, bool byAttempt,
                                                  kernel::Duration objective)
{
    const std::uint64_t self =
            context_.kernel.find<services::MembershipService>("membership").self();
    const kernel::Instant began = context_.now();
    std::vector<forward::StreamKeeper> asked = forward::keepersOf(id.request, keepers(), Asked);
    std::erase_if(asked,
                  [self](const forward::StreamKeeper &keeper) { return keeper.box == self; });
    const auto pending =
            std::make_shared<Pending>(Pending{asio::steady_timer(context_.io), {}, {}, byAttempt});
    const peer::StreamAsk ask{context_.random(), byAttempt, byAttempt ? id.attempt : id.request};
    pending->sources.add(known(ask));
    for (const forward::StreamKeeper &keeper : asked) {
        pending->unanswered.push_back(keeper.box);
    }
    pending_[ask.ask] = pending;
    const kernel::Duration whole = timeFor(asked, objective);
    // A lost message is made up for by the second question.
    const std::array<kernel::Duration, 2> rounds = {whole / 3, whole};
    for (const kernel::Duration after : rounds) {
        if (pending->over()) {
            break;
        }
        for (const std::uint64_t box : pending->unanswered) {
            send(box, ask);
        }
        co_await waitUntil(pending, began + after);
    }
    pending_.erase(ask.ask);
    const bool unknown = !pending->sources.origin() && !pending->sources.contradicted();
    if (unknown && byAttempt && recall_) {
        const kernel::Duration left = began + whole - context_.now();
        co_await recall_(std::max<kernel::Duration>(left, whole / 3));
        pending->sources.add(known(ask));
    }
    const forward::StreamAnswers answers{asked.size(), asked.size() - pending->unanswered.size(),
                                         fleetSight(context_).whole};
    const bool covered = byAttempt || coversEqualRequests(answers);
    StreamLookup found{covered ? pending->sources.origin() : std::nullopt, ""};
    if (!found.origin) {
        const bool silent = !covered || !pending->unanswered.empty();
        found.why = pending->sources.contradicted() ? "contradicted"
                    : silent                        ? "no-answer"
                                                    : "not-recorded";
    }
    context_.counters.add("streams_looked_up",
                          {{"result", found.origin ? std::string("known") : found.why}});
    co_return found;
}

asio::awaitable<void> StreamService::waitUntil(PendingPtr pending, kernel::Instant until)
{
    const kernel::Duration left = until - context_.now();
    if (pending->over() || left <= 0s) {
        co_return;
    }
    pending->timer.expires_after(left);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!pending->over()) {
        auto &peers = context_.kernel.find<services::PeerService>("peer");
        std::function<bool()> enough = [pending] { return pending->over(); };
        co_await peers.readPending(std::move(enough));
    }
}

const forward::StreamRecord *StreamService::known(const peer::StreamAsk &ask) const
{
    const kernel::Instant now = context_.now();
    return ask.byAttempt ? table_.findAttempt(ask.name, now) : table_.findRequest(ask.name, now);
}

peer::StreamAnswer StreamService::answerTo(const peer::StreamAsk &ask) const
{
    peer::StreamAnswer answer;
    answer.ask = ask.ask;
    if (const forward::StreamRecord *record = known(ask)) {
        answer.known =
                record->contradicted ? peer::StreamKnown::Contradicted : peer::StreamKnown::Origin;
        answer.origin = record->origin;
    }
    return answer;
}

void StreamService::receive(const peer::Message &message, const kernel::Endpoint &from)
{
    if (const auto *const notes = std::get_if<peer::StreamNotes>(&message)) {
        receive(*notes);
    } else if (const auto *const ask = std::get_if<peer::StreamAsk>(&message)) {
        context_.kernel.find<services::PeerService>("peer").send(from, answerTo(*ask));
    } else if (const auto *const answer = std::get_if<peer::StreamAnswer>(&message)) {
        receive(*answer, from);
    }
}

void StreamService::receive(const peer::StreamNotes &notes)
{
    for (const peer::StreamNote &note : notes.notes) {
        keep(note, false);
    }
    if (leaving_ && !notes.handedOver) {
        tell({.notes = notes.notes, .handedOver = true});
    }
}

void StreamService::receive(const peer::StreamAnswer &answer, const kernel::Endpoint &from)
{
    const auto place = pending_.find(answer.ask);
    if (place == pending_.end()) {
        return;
    }
    Pending &pending = *place->second;
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    // An answer that came twice is heeded once.
    const auto removed = std::erase_if(
            pending.unanswered, [&](std::uint64_t box) { return members.addressOf(box) == from; });
    if (removed == 0) {
        return;
    }
    if (answer.known != peer::StreamKnown::Nothing) {
        const bool contradicted = answer.known == peer::StreamKnown::Contradicted;
        const forward::StreamRecord record{answer.origin, contradicted, false, {}};
        pending.sources.add(&record);
    }
    if (pending.over()) {
        pending.timer.cancel();
    }
}

} // namespace limereel::gateway
