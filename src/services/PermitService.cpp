#include "services/PermitService.h"

#include "membership/Ownership.h"
#include "services/BackoffService.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PeerService.h"
#include "services/SpillService.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using membership::shortHash;
using outcome::ResultCode;
using peer::AskKind;
using peer::AskPermit;
using peer::PermitAnswer;
using peer::PermitResult;
using routing::Reason;

namespace {

constexpr std::size_t MaxBoxesAsked =
        3; ///< Boxes that are asked about a resource before giving up.
constexpr int TriesPerBox = 2;
constexpr kernel::Duration DefaultRetryDelay = 1s;

Reason reasonOf(std::uint8_t value)
{
    return value <= static_cast<std::uint8_t>(Reason::Spilled) ? static_cast<Reason>(value)
                                                               : Reason::Spilled;
}

// Copies the owner's reason and retry delay. EnginesFull is set only if an owner says so: only a
// working engine can be full, and owners may know before this box that all engines are down. The
// caller then shouldn't be told to wait for a place.
void updateRefusal(const PermitAnswer &answer, PermitRefusal &refusal)
{
    if (answer.result == PermitResult::Full || answer.result == PermitResult::Unfair) {
        refusal.code = ResultCode::EnginesFull;
    }
    if (answer.comeBackMs > 0) {
        refusal.retryDelay = std::chrono::milliseconds(answer.comeBackMs);
    }
}

} // namespace

struct PermitService::Pending
{
    explicit Pending(asio::io_context &io)
        : timer(io)
    {
    }

    asio::steady_timer timer;
    std::optional<PermitAnswer> answer;
};

PermitService::PermitService(Context &context)
    : context_(context)
{
}

void PermitService::start()
{
    context_.kernel.find<PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                receive(message, from);
            });
    renewLoop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return renewRound(); });
}

void PermitService::stop()
{
    renewLoop_.reset();
}

void PermitService::receive(const peer::Message &message, const kernel::Endpoint &from)
{
    auto &owner = context_.kernel.find<OwnerService>("owner");
    if (const auto *const ask = std::get_if<AskPermit>(&message)) {
        // The spill service handles those from other halls.
        if (ask->kind != AskKind::Spill) {
            context_.kernel.find<PeerService>("peer").send(from, owner.decide(*ask));
        }
    } else if (const auto *const answer = std::get_if<PermitAnswer>(&message)) {
        if (const auto entry = pending_.find(answer->request); entry != pending_.end()) {
            entry->second->answer = *answer;
            entry->second->timer.cancel();
        } else {
            // The wait for it has ended already. A place that it grants was given back then.
            context_.counters.add("late_answers");
        }
    } else if (const auto *const giveBack = std::get_if<peer::GiveBack>(&message)) {
        if (!context_.kernel.find<SpillService>("spill").take(*giveBack)) {
            owner.take(*giveBack);
        }
    } else if (const auto *const renew = std::get_if<peer::Renew>(&message)) {
        context_.kernel.find<SpillService>("spill").take(*renew);
        owner.take(*renew);
    } else if (const auto *const placed = std::get_if<peer::Placed>(&message)) {
        owner.take(*placed);
    }
}

// Excludes the engines that have asked this box to back off. Returns whether there are any.
bool PermitService::excludeBackingOff(EngineRequirements &need,
                                      const std::vector<routing::Candidate> &engines) const
{
    const auto &backoffs = context_.kernel.find<BackoffService>("rests");
    const auto &view = context_.kernel.find<OwnerService>("owner").view();
    bool anyExcluded = false;
    for (const auto &engine : engines) {
        const BackendView *const backend = view.find(engine.engine);
        if (backend != nullptr
            && backoffs.inBackoff(kernel::combine(engine.engine, backend->state.incarnation))) {
            need.excluded.insert(engine.engine);
            anyExcluded = true;
        }
    }
    return anyExcluded;
}

asio::awaitable<tl::expected<Permit, PermitRefusal>>
PermitService::acquireEngine(EngineRequirements need)
{
    auto &owner = context_.kernel.find<OwnerService>("owner");
    auto engines = owner.view().enginesOf(need.model);
    const bool anyBackingOff = excludeBackingOff(need, engines);
    std::erase_if(engines,
                  [&](const auto &engine) { return need.excluded.contains(engine.engine); });
    PermitRefusal refusal{ResultCode::NoEngine, DefaultRetryDelay};
    if (engines.empty()) {
        if (anyBackingOff) {
            refusal.code = ResultCode::ServersRest;
        }
        co_return tl::unexpected(refusal);
    }
    AskPermit ask = askFor(need);
    const std::uint64_t home = routing::candidatesFor(need.chat, engines, 1).front().engine;
    const auto *const preferredEngine =
            need.preferred ? owner.view().find(*need.preferred) : nullptr;
    const bool stillHolds = preferredEngine != nullptr
                            && preferredEngine->state.incarnation == need.preferredIncarnation;
    if (stillHolds && *need.preferred != home) {
        const peer::Suggestion preferred{shortHash(*need.preferred),
                                         static_cast<std::uint8_t>(Reason::Holder)};
        if (auto permit = co_await tryEngine(need, ask, preferred, refusal)) {
            co_return *permit;
        }
        ask.request = context_.random();
    }
    ask.kind = AskKind::Home;
    ask.resource = home;
    const auto answered = co_await askOwner(ask);
    std::vector<peer::Suggestion> suggestions;
    if (answered) {
        updateRefusal(answered->answer, refusal);
        suggestions = answered->answer.suggestions;
    }
    if (answered && answered->answer.result == PermitResult::Granted && !suggestions.empty()) {
        const auto *const backend = owner.view().findShort(suggestions.front().engine);
        const bool excluded =
                backend == nullptr || need.excluded.contains(backend->listed.backend.hash());
        if (!excluded) {
            ask.resource = backend->listed.backend.hash();
            co_return take(ask, answered->box, *backend, reasonOf(suggestions.front().reason));
        }
        sendToOwner(answered->box,
                    peer::GiveBack{ask.request, ask.resource, peer::Observed::Unused});
        suggestions.clear();
    }
    if (suggestions.empty()) {
        // The owner of the chat's first candidate didn't answer, suggested nothing, or granted only
        // an engine that this request excludes: the candidates are asked in order.
        for (const auto &candidate : routing::candidatesFor(need.chat, engines, need.candidates)) {
            suggestions.push_back(
                    {shortHash(candidate.engine), static_cast<std::uint8_t>(Reason::First)});
        }
    }
    for (std::size_t index = 0; index < suggestions.size(); ++index) {
        AskPermit engineAsk = askFor(need);
        if (auto permit =
                    co_await tryEngine(need, std::move(engineAsk), suggestions[index], refusal)) {
            if (index > 0 || !answered) {
                const auto owners = context_.kernel.find<MembershipService>("membership").owners();
                const peer::Placed placed{need.chat, home, suggestions[index].engine, need.model,
                                          false};
                sendToOwner(membership::ownerOf(home, owners).value_or(0), placed);
            }
            co_return *permit;
        }
    }
    context_.counters.add("permits_refused",
                          {{"code", std::string(outcome::info(refusal.code).name)}});
    co_return tl::unexpected(refusal);
}

asio::awaitable<tl::expected<Permit, PermitRefusal>>
PermitService::acquireQuota(std::uint64_t organisation)
{
    const AskPermit ask{.kind = AskKind::Quota,
                        .request = context_.random(),
                        .router = context_.settings.box.hash(),
                        .organisation = organisation,
                        .resource = organisation};
    const auto answered = co_await askOwner(ask);
    const PermitResult result = answered ? answered->answer.result : PermitResult::NotOwner;
    if (result != PermitResult::Granted && result != PermitResult::NotOwner) {
        co_return tl::unexpected(
                PermitRefusal{ResultCode::OrganisationLimit,
                              std::chrono::milliseconds(answered->answer.comeBackMs)});
    }
    if (result == PermitResult::NotOwner) {
        // No box counts this quota at the moment. A limit that can't be checked doesn't block
        // requests; the renewals add this one to the next owner's count.
        context_.counters.add("quota_unchecked");
    }
    const std::uint64_t countingBox =
            result == PermitResult::Granted ? answered->box : context_.settings.box.hash();
    held_[ask.request] = {
            {ask.request, organisation, 0}, {countingBox}, std::nullopt, context_.now()};
    co_return Permit{.request = ask.request, .resource = organisation};
}

void PermitService::holdInOtherHall(const AskPermit &ask, const Permit &permit,
                                    const kernel::Endpoint &delegate)
{
    held_[ask.request] = {
            {ask.request, permit.resource, ask.organisation}, {}, delegate, context_.now()};
    context_.counters.add("permits_granted", {{"reason", routing::text(permit.reason)}});
}

void PermitService::giveBack(const Permit &permit, peer::Observed observed)
{
    const auto entry = held_.find(permit.request);
    if (entry == held_.end()) {
        return;
    }
    const peer::GiveBack message{permit.request, permit.resource, observed};
    for (const std::uint64_t owner : entry->second.owners) {
        sendToOwner(owner, message);
    }
    if (entry->second.delegate) {
        context_.kernel.find<PeerService>("peer").send(*entry->second.delegate, message);
    }
    held_.erase(entry);
}

asio::awaitable<std::optional<PermitAnswer>> PermitService::askBox(std::uint64_t box, AskPermit ask)
{
    auto &membership = context_.kernel.find<MembershipService>("membership");
    if (box == membership.self()) {
        co_return context_.kernel.find<OwnerService>("owner").decide(ask);
    }
    const auto address = membership.addressOf(box);
    if (!address) {
        co_return std::nullopt;
    }
    const auto answer = co_await askAt(*address, ask, context_.settings.askTimeout);
    if (!answer) {
        membership.noteUnreachable(box);
    } else if (ask.kind != AskKind::Quota) {
        context_.kernel.find<OwnerService>("owner").noteLoad(box, ask.model, answer->load);
    }
    co_return answer;
}

asio::awaitable<std::optional<PermitAnswer>>
PermitService::askAt(kernel::Endpoint where, AskPermit ask, kernel::Duration timeout)
{
    auto &peer = context_.kernel.find<PeerService>("peer");
    const auto pending = std::make_shared<Pending>(context_.io);
    pending_[ask.request] = pending;
    for (int tries = 0; tries < TriesPerBox && !pending->answer; ++tries) {
        if (tries > 0) {
            context_.counters.add("retries", {{"reason", "ask-unanswered"}});
        }
        pending->timer.expires_after(timeout);
        peer.send(where, ask);
        co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!pending->answer) {
            std::function<bool()> answered = [pending] { return pending->answer.has_value(); };
            co_await peer.readPending(std::move(answered));
            context_.counters.add("waits_rescued", {{"what", "permit"}}, pending->answer ? 1 : 0);
        }
    }
    pending_.erase(ask.request);
    if (!pending->answer) {
        // The box may have granted the permit, and only its answer was lost.
        peer.send(where, peer::GiveBack{ask.request, ask.resource, peer::Observed::Unused});
    }
    co_return pending->answer;
}

asio::awaitable<std::optional<PermitService::Answered>> PermitService::askOwner(AskPermit ask)
{
    const auto owners = context_.kernel.find<MembershipService>("membership").owners();
    std::optional<Answered> last;
    for (const std::uint64_t box : membership::rankedOwners(ask.resource, owners, MaxBoxesAsked)) {
        if (const auto answer = co_await askBox(box, ask)) {
            last = Answered{*answer, box};
        }
        if (last && last->answer.result != PermitResult::NotOwner) {
            break;
        }
    }
    co_return last;
}

asio::awaitable<std::optional<Permit>> PermitService::tryEngine(const EngineRequirements &need,
                                                                AskPermit ask,
                                                                peer::Suggestion suggestion,
                                                                PermitRefusal &refusal)
{
    auto &owner = context_.kernel.find<OwnerService>("owner");
    const BackendView *backend = owner.view().findShort(suggestion.engine);
    if (backend == nullptr || !backend->open()
        || need.excluded.contains(backend->listed.backend.hash()) || !backend->holds(ask.model)) {
        co_return std::nullopt;
    }
    ask.kind = AskKind::Engine;
    ask.resource = backend->listed.backend.hash();
    const auto answered = co_await askOwner(ask);
    if (!answered || answered->answer.result != PermitResult::Granted) {
        if (answered) {
            updateRefusal(answered->answer, refusal);
        }
        co_return std::nullopt;
    }
    backend = owner.view().find(ask.resource);
    if (backend == nullptr) {
        sendToOwner(answered->box,
                    peer::GiveBack{ask.request, ask.resource, peer::Observed::Unused});
        co_return std::nullopt;
    }
    co_return take(ask, answered->box, *backend, reasonOf(suggestion.reason));
}

Permit PermitService::take(const AskPermit &ask, std::uint64_t owner, const BackendView &backend,
                           Reason reason)
{
    held_[ask.request] = {
            {ask.request, ask.resource, ask.organisation}, {owner}, std::nullopt, context_.now()};
    context_.counters.add("permits_granted", {{"reason", routing::text(reason)}});
    return {.request = ask.request,
            .resource = ask.resource,
            .backend = backend.listed,
            .incarnation = backend.state.incarnation,
            .reason = reason};
}

AskPermit PermitService::askFor(const EngineRequirements &need) const
{
    return {.kind = AskKind::Engine,
            .request = context_.random(),
            .router = context_.settings.box.hash(),
            .organisation = need.organisation,
            .resource = 0,
            .chat = need.chat,
            .model = need.model,
            .load = context_.kernel.find<OwnerService>("owner").ownLoad(need.model),
            .excluded = {need.excluded.begin(), need.excluded.end()}};
}

asio::awaitable<kernel::Duration> PermitService::renewRound()
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    auto &peer = context_.kernel.find<PeerService>("peer");
    const auto owners = membership.owners();
    std::map<std::uint64_t, std::vector<peer::HeldPermit>> byOwner;
    for (auto &[request, held] : held_) {
        const bool due = context_.now() - held.renewed >= context_.settings.permitLease / 3;
        if (held.delegate && due) {
            held.renewed = context_.now();
            peer.send(*held.delegate, peer::Renew{membership.self(), {held.permit}});
        }
        const auto owner =
                held.delegate ? std::nullopt : membership::ownerOf(held.permit.resource, owners);
        // A new owner gets the renewal at once, as it has to count the permits that the previous
        // owner granted.
        if (owner && (due || !held.owners.contains(*owner))) {
            held.renewed = context_.now();
            held.owners.insert(*owner);
            byOwner[*owner].push_back(held.permit);
        }
    }
    // One datagram holds about 40 permits; more go in several.
    constexpr std::size_t PermitsPerMessage = 40;
    for (const auto &[owner, permits] : byOwner) {
        for (std::size_t begin = 0; begin < permits.size(); begin += PermitsPerMessage) {
            const std::size_t end = std::min(begin + PermitsPerMessage, permits.size());
            sendToOwner(owner, peer::Renew{membership.self(),
                                           {permits.begin() + static_cast<std::ptrdiff_t>(begin),
                                            permits.begin() + static_cast<std::ptrdiff_t>(end)}});
        }
    }
    // Renewed after a third of its lease, a permit outlives one lost renewal. Most requests end
    // before the first.
    co_return context_.settings.permitLease / 6;
}

void PermitService::sendToOwner(std::uint64_t box, const peer::Message &message)
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    if (box == membership.self()) {
        auto &owner = context_.kernel.find<OwnerService>("owner");
        if (const auto *const giveBack = std::get_if<peer::GiveBack>(&message)) {
            owner.take(*giveBack);
        } else if (const auto *const renew = std::get_if<peer::Renew>(&message)) {
            owner.take(*renew);
        } else if (const auto *const placed = std::get_if<peer::Placed>(&message)) {
            owner.take(*placed);
        }
        return;
    }
    if (const auto address = membership.addressOf(box)) {
        context_.kernel.find<PeerService>("peer").send(*address, message);
    }
}

} // namespace limereel::services
