#include "services/SpillService.h"

#include "membership/Rendezvous.h"
#include "services/ConfigService.h"
#include "services/DirectoryService.h"
#include "services/PeerService.h"

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

constexpr std::size_t HallsTried = 2;        ///< Halls that are asked before a request is refused.
constexpr std::size_t BoxesTriedPerHall = 2; ///< Boxes of one other hall that are asked.
constexpr kernel::Duration DefaultRetryDelay = 1s;
constexpr int ChecksPerLease = 6; ///< Checks for expired permits.

kernel::Duration expiryPeriod(const Context &context)
{
    return context.settings.permitLease / ChecksPerLease;
}

} // namespace

SpillService::SpillService(Context &context)
    : context_(context)
    , awake_(expiryPeriod(context))
{
}

void SpillService::start()
{
    context_.kernel.find<PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                const auto *const ask = std::get_if<AskPermit>(&message);
                if (ask != nullptr && ask->kind == AskKind::Spill) {
                    asio::co_spawn(context_.io, serve(*ask, from), asio::detached);
                }
            });
    expiryLoop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return expiryRound(); });
}

void SpillService::stop()
{
    expiryLoop_.reset();
}

asio::awaitable<tl::expected<Permit, PermitRefusal>> SpillService::acquire(EngineRequirements need)
{
    PermitRefusal refusal{ResultCode::NoEngine, DefaultRetryDelay};
    AskPermit ask = context_.kernel.find<PermitService>("permits").askFor(need);
    ask.kind = AskKind::Spill;
    for (const std::string &hall : hallsInOrder(need.chat)) {
        if (auto permit = co_await tryHall(hall, ask, refusal)) {
            co_return *permit;
        }
        ask.request = context_.random();
    }
    co_return tl::unexpected(refusal);
}

// The other halls, those of the own region first. Within either group, every router has the same
// order for a chat.
std::vector<std::string> SpillService::hallsInOrder(kernel::ChatKey chat) const
{
    std::vector<std::string> halls;
    for (const bool sameRegion : {true, false}) {
        std::vector<std::string> names;
        std::vector<std::uint64_t> hashes;
        for (const auto &[hall, list] :
             context_.kernel.find<DirectoryService>("directory").others()) {
            if ((list.region == context_.settings.region) == sameRegion && !list.boxes.empty()) {
                names.push_back(hall);
                hashes.push_back(kernel::hashOf(hall));
            }
        }
        for (const std::size_t position : membership::rendezvousOrder(chat, hashes, names.size())) {
            halls.push_back(names[position]);
        }
    }
    halls.resize(std::min(halls.size(), HallsTried));
    return halls;
}

asio::awaitable<std::optional<Permit>> SpillService::tryHall(std::string hall, AskPermit ask,
                                                             PermitRefusal &refusal)
{
    std::vector<kernel::Endpoint> boxes;
    for (const auto &box :
         context_.kernel.find<DirectoryService>("directory").others().at(hall).boxes) {
        if (const auto endpoint = kernel::endpointFrom(box.peer); endpoint && !box.leaving) {
            boxes.push_back(*endpoint);
        }
    }
    std::ranges::shuffle(boxes, context_.random);
    boxes.resize(std::min(boxes.size(), BoxesTriedPerHall));
    auto &permits = context_.kernel.find<PermitService>("permits");
    for (const kernel::Endpoint &box : boxes) {
        // That box has to ask the owners in its hall before it can answer.
        const auto answer = co_await permits.askAt(box, ask, context_.settings.askTimeout * 4);
        if (!answer) {
            continue;
        }
        refusal = {answer->result == PermitResult::Full ? ResultCode::EnginesFull : refusal.code,
                   std::max(refusal.retryDelay,
                            kernel::Duration(std::chrono::milliseconds(answer->comeBackMs)))};
        if (answer->result != PermitResult::Granted || answer->suggestions.empty()) {
            break;
        }
        const auto &backends =
                context_.kernel.find<DirectoryService>("directory").others().at(hall).backends;
        const auto engine = std::ranges::find_if(backends, [&](const auto &backend) {
            return shortHash(backend.backend.hash()) == answer->suggestions.front().engine;
        });
        if (engine == backends.end()) {
            // The engine isn't in this box's list of that hall yet.
            const peer::GiveBack unused{ask.request, 0, peer::Observed::Unused};
            context_.kernel.find<PeerService>("peer").send(box, unused);
            break;
        }
        const Permit permit{.request = ask.request,
                            .resource = engine->backend.hash(),
                            .backend = *engine,
                            .incarnation = 0,
                            .reason = Reason::Spilled};
        permits.holdInOtherHall(ask, permit, box);
        co_return permit;
    }
    co_return std::nullopt;
}

asio::awaitable<void> SpillService::serve(AskPermit ask, kernel::Endpoint from)
{
    const auto &config = context_.kernel.find<ConfigService>("config");
    const auto *const pool =
            config.ready() ? config.effective().poolOfModelHash(ask.model) : nullptr;
    const bool alreadyGranted = delegated_.contains(ask.request);
    if (alreadyGranted || pool == nullptr || !serving_.insert(ask.request).second) {
        // Either a repeated request, whose first answer was lost or isn't ready yet, or a model
        // that is in no pool here.
        if (alreadyGranted) {
            sendAnswer(ask, from);
        }
        co_return;
    }
    EngineRequirements need{.organisation = ask.organisation,
                            .chat = ask.chat,
                            .model = ask.model,
                            .candidates = pool->candidates,
                            .excluded = {ask.excluded.begin(), ask.excluded.end()}};
    const auto permit =
            co_await context_.kernel.find<PermitService>("permits").acquireEngine(std::move(need));
    serving_.erase(ask.request);
    if (permit) {
        delegated_[ask.request] = {*permit, awake() + context_.settings.permitLease};
        sendAnswer(ask, from);
        co_return;
    }
    const bool full = permit.error().code == ResultCode::EnginesFull;
    const PermitAnswer refusal{.request = ask.request,
                               .result = full ? PermitResult::Full : PermitResult::Leaving,
                               .suggestions = {},
                               .comeBackMs =
                                       static_cast<std::uint32_t>(permit.error().retryDelay / 1ms)};
    context_.kernel.find<PeerService>("peer").send(from, refusal);
}

void SpillService::sendAnswer(const AskPermit &ask, const kernel::Endpoint &from)
{
    const Permit &permit = delegated_.at(ask.request).permit;
    const peer::Suggestion engine{shortHash(permit.resource),
                                  static_cast<std::uint8_t>(Reason::Spilled)};
    const PermitAnswer answer{
            .request = ask.request, .result = PermitResult::Granted, .suggestions = {engine}};
    context_.kernel.find<PeerService>("peer").send(from, answer);
}

bool SpillService::take(const peer::GiveBack &message)
{
    const auto entry = delegated_.find(message.request);
    if (entry == delegated_.end()) {
        return false;
    }
    context_.kernel.find<PermitService>("permits").giveBack(entry->second.permit, message.observed);
    delegated_.erase(entry);
    return true;
}

void SpillService::take(const peer::Renew &renew)
{
    for (const peer::HeldPermit &permit : renew.permits) {
        if (const auto entry = delegated_.find(permit.request); entry != delegated_.end()) {
            entry->second.until = awake() + context_.settings.permitLease;
        }
    }
}

// The time by which leases run; it excludes stalls of this process, as the renewals of other
// halls stay unread meanwhile.
kernel::Instant SpillService::awake()
{
    return awake_.at(context_.now());
}

asio::awaitable<kernel::Duration> SpillService::expiryRound()
{
    dropExpired();
    co_return expiryPeriod(context_);
}

void SpillService::dropExpired()
{
    const kernel::Instant now = awake();
    for (auto entry = delegated_.begin(); entry != delegated_.end();) {
        if (entry->second.until > now) {
            ++entry;
            continue;
        }
        context_.kernel.find<PermitService>("permits").giveBack(entry->second.permit,
                                                                peer::Observed::Unused);
        entry = delegated_.erase(entry);
    }
}

} // namespace limereel::services
