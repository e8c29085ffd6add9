#include "gateway/RequestRun.h"

#include "gateway/RunLog.h"
#include "services/Answers.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr std::uint32_t MostRejections = 2;
constexpr std::uint32_t MostUnsent = 3;
constexpr std::size_t MostAsks = 3;         ///< Owners that are asked for a place.
constexpr kernel::Duration LeastLeft = 5ms; ///< With less there is no use in sending.
constexpr kernel::Duration PatienceUntold = 60s;
// A server that was taken for restarted isn't again in this time, longer than any is cold.
constexpr kernel::Duration StartOnce = 20s;
constexpr const char *AllCold = "all backend servers that could run it have just started and have "
                                "been sent as many requests as they bear";
constexpr const char *AllAtTheirPlaces =
        "all backend servers that could run it have as many requests as they have places";
constexpr const char *AllRest = "all backend servers that could run it have turned requests away "
                                "and asked for rest";

} // namespace

RequestRun::RequestRun(services::Context &context, World &world, ConnectionPool &pool,
                       PlaceService &places, http::Request request, http::Reply &reply)
    : run_(context, world, std::move(request), reply)
    , pool_(pool)
    , places_(places)
    , deadlineTimer_(context.io, context.counters, "deadline")
{
}

RequestRun::~RequestRun()
{
    run_.interrupt->over = true;
}

asio::awaitable<void> RequestRun::serve()
{
    auto call = run_.world.adapter().dialect.readCall(run_.request);
    if (!call) {
        Refusal refusal{ResultCode::BadRequest, call.error()};
        co_await refuse(std::move(refusal));
        co_return;
    }
    run_.call = std::move(*call);
    if (auto refusal = admit()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    run_.guard.setParts({.organisation = run_.organisation,
                         .method = run_.request.method,
                         .host = run_.call.host,
                         .target = run_.request.target,
                         .body = run_.request.body});
    armTimers();
    run_.reply.watchClient([interrupt = run_.interrupt] {
        if (!interrupt->over) {
            interrupt->end(Interruption::CallerLeft);
        }
    });
    run_.world.budget().countRequest(run_.service, run_.began);
    co_await runAttempts();
    givePlaceBack();
}

std::optional<RequestRun::Refusal> RequestRun::admit()
{
    const forward::SnapshotPtr snapshot = run_.world.snapshot();
    if (!snapshot) {
        return Refusal{ResultCode::NoConfiguration, "the box has no configuration yet", true};
    }
    const forward::Route *route = snapshot->route(run_.call.host, run_.request.target);
    if (route == nullptr) {
        return Refusal{ResultCode::UnknownPath, "no route has this host and path"};
    }
    run_.route = *route;
    run_.regions = route->homes;
    run_.lastEvent = run_.call.resumeAfter;
    run_.service = forward::chooseService(run_.route, kernel::hashOf(run_.call.id));
    const forward::Service *service = snapshot->service(run_.service);
    run_.movesParts = service != nullptr && service->movesParts;
    const kernel::Duration patience =
            run_.call.patience > 0s ? run_.call.patience : kernel::Duration(PatienceUntold);
    run_.deadline = run_.began
                    + (run_.route.timeout > 0s ? std::min(patience, run_.route.timeout) : patience);
    run_.priority = run_.route.priority;
    return checkKey();
}

// Also right before each send: the process may have stood still since the request came.
std::optional<RequestRun::Refusal> RequestRun::checkKey()
{
    const forward::SnapshotPtr snapshot = run_.world.snapshot();
    if (run_.route.anonymous || !snapshot->hasOrganisations()) {
        return std::nullopt;
    }
    if (!run_.world.freshness().usable(run_.context.now())) {
        run_.reply.closeAfter();
        return Refusal{ResultCode::NoConfiguration,
                       "the box can't make sure that the key is still valid", true};
    }
    const forward::Organisation *organisation = snapshot->organisation(run_.call.key);
    if (organisation == nullptr) {
        return Refusal{ResultCode::BadKey, "no organisation has this API key"};
    }
    run_.organisation = organisation->name;
    auto regions = forward::homeRegions(run_.route.homes, organisation->homes);
    if (!regions) {
        return Refusal{ResultCode::NoEngine, "route and organisation have no region in common"};
    }
    run_.regions = std::move(*regions);
    if (organisation->priority) {
        run_.priority = organisation->priority;
    }
    return std::nullopt;
}

void RequestRun::armTimers()
{
    // An answer that came while the process stood still is delivered, also late.
    const auto heard = [interrupt = run_.interrupt] {
        return interrupt->connection ? interrupt->connection->heard() : http::Heard{};
    };
    const auto over = [interrupt = run_.interrupt] { interrupt->end(Interruption::Deadline); };
    deadlineTimer_.start(run_.left(), heard, over);
}

asio::awaitable<void> RequestRun::runAttempts()
{
    while (!run_.stopped()) {
        if (auto refusal = co_await acquireSendPermission()) {
            run_.lastMessage = refusal->message;
            if (run_.counts.sends > 0) {
                break;
            }
            co_await refuse(std::move(*refusal));
            co_return;
        }
        auto choice = co_await chooseServer();
        if (!choice) {
            run_.lastMessage =
                    run_.lastMessage.empty() ? "no backend server can be used" : run_.lastMessage;
            break;
        }
        if (run_.left() < LeastLeft) {
            run_.interrupt->reason = Interruption::Deadline;
            break;
        }
        run_.choice = std::move(*choice);
        run_.beginAttempt();
        const AttemptEnd end = co_await attempt();
        givePlaceBack();
        co_await noteEnd(end);
        if (end == AttemptEnd::Answered) {
            co_return;
        }
        tried_.push_back(run_.choice.server.id);
        // Counted whatever ended the attempt: what may have run must never be called "not run".
        run_.counts.add(end);
        if (run_.interrupt->reason == Interruption::Silent) {
            run_.interrupt->reason = Interruption::None;
        }
        if (run_.stopped() || !mayTryAgain(end)) {
            break;
        }
    }
    co_await giveUp();
}

// A request under which servers have ended may have to run alone, or not at all.
asio::awaitable<std::optional<RequestRun::Refusal>> RequestRun::acquireSendPermission()
{
    const services::SendPermission leave = co_await run_.guard.acquireSendPermission(run_.left());
    if (leave.granted()) {
        co_return std::nullopt;
    }
    logNoLeave(run_, leave);
    co_return Refusal{services::codeOf(leave), services::denialMessage(leave), true,
                      leave.notBefore};
}

asio::awaitable<void> RequestRun::noteEnd(AttemptEnd end)
{
    using services::AttemptOutcome;
    AttemptOutcome sight = AttemptOutcome::Nothing;
    if (run_.answeredWhole) {
        sight = AttemptOutcome::Whole;
    } else if (end == AttemptEnd::MayHaveRun) {
        const bool lost = run_.failure == forward::Failure::Lost && !run_.stopped();
        sight = lost ? AttemptOutcome::Lost : AttemptOutcome::Interrupted;
    }
    const forward::ListedServer &server = run_.choice.server;
    services::AttemptServer tried{server.id, server.hash(), server.address};
    co_await run_.guard.noteEnd(sight, std::move(tried));
}

// Engines are bounded: the owner of the chosen one has to agree. After some that are full any other
// one is taken all the same, since a request that waits here helps nobody. A server that is cold is
// never taken without leave: one that is sent too much falls over.
asio::awaitable<std::optional<forward::Choice>> RequestRun::chooseServer()
{
    forward::Wish wish;
    wish.service = run_.service;
    wish.prompt = run_.prompt();
    wish.tried = tried_;
    wish.regions = run_.regions;
    wish.takeParts = run_.movesParts;
    wish.alone = run_.guard.isAlone();
    while (true) {
        auto choice = run_.world.servers().choose(wish, run_.context.now(), run_.context.random);
        if (!choice) {
            noteNoServer(wish);
            run_.lastMessage = wish.barred.empty() ? run_.lastMessage : AllCold;
            co_return choice;
        }
        const bool learned = co_await learnHolders(wish, *choice);
        if (learned) {
            continue;
        }
        noteTrial(*choice);
        const bool taken = co_await takePlace(wish, *choice);
        if (taken) {
            co_return choice;
        }
    }
}

void RequestRun::noteNoServer(const forward::Wish &wish)
{
    const kernel::Instant now = run_.context.now();
    allRest_ = run_.world.servers().allRest(wish, now);
    if (!allRest_ && run_.world.servers().heldToPlaces(wish.service, now)) {
        run_.context.counters.add("held_to_places");
        run_.lastMessage = AllAtTheirPlaces;
    }
}

// Where the chosen engine isn't known to hold the prompt's parts, nor any other, the box is asked
// that remembers it for all. Gives true if it named some: then the choice is made anew.
asio::awaitable<bool> RequestRun::learnHolders(forward::Wish &wish, const forward::Choice &choice)
{
    const bool wanted = wish.prompt != nullptr && wish.takeParts && !wish.holdersAsked;
    if (!wanted || run_.world.servers().sourceKnown(wish, choice, run_.context.now())) {
        co_return false;
    }
    wish.holdersAsked = true;
    PartsWord word = co_await places_.askForParts(run_.call.prompt);
    std::ranges::move(word.holders, std::back_inserter(wish.holders));
    wish.beginners = std::move(word.beginners);
    co_return !wish.holders.empty();
}

// A server that couldn't be reached may have been restarted. Only the first trial says so: if each
// did, one that is refused as the server is cold would keep it cold.
void RequestRun::noteTrial(const forward::Choice &choice)
{
    forward::ColdStarts &starts = run_.world.coldStarts();
    const kernel::Instant now = run_.context.now();
    if (choice.trial && !starts.startedWithin(choice.server.hash(), StartOnce, now)) {
        starts.noteStarted(choice.server.hash(), now);
    }
}

// Gives false if another server has to be chosen, which \a wish then leads to.
asio::awaitable<bool> RequestRun::takePlace(forward::Wish &wish, forward::Choice &choice)
{
    forward::ListedServer asked = choice.server;
    if (wish.prompt == nullptr) {
        // Asked also for one that this box takes for warm: its owner may know better.
        bool granted = true;
        if (run_.world.coldStarts().bounded(run_.service)) {
            granted = co_await places_.takeStart(std::move(asked));
        }
        if (!granted) {
            barCold(wish, choice.server.id);
        }
        co_return granted;
    }
    const std::uint64_t partsKey = forward::sharedPartsKey(run_.call.prompt);
    PlaceOutcome outcome = co_await places_.take(std::move(asked), partsKey);
    run_.place = outcome.place;
    std::ranges::move(outcome.holders, std::back_inserter(wish.holders));
    if (outcome.cold) {
        barCold(wish, choice.server.id);
        co_return false;
    }
    if (run_.place || wish.spread) {
        co_await settleParts(wish, choice);
        co_return true;
    }
    wish.full.push_back(choice.server.id);
    wish.spread = wish.full.size() >= MostAsks;
    co_return false;
}

// After some cold servers that take no more, a warm one: each further ask would cost a message and
// time.
void RequestRun::barCold(forward::Wish &wish, const std::string &id)
{
    wish.barred.push_back(id);
    if (wish.barred.size() < MostAsks) {
        return;
    }
    const kernel::Instant now = run_.context.now();
    run_.world.servers().forEach([&](const forward::ListedServer &server) {
        if (run_.world.coldStarts().state(server, now).cold()) {
            wish.barred.push_back(server.id);
        }
    });
}

// The server is chosen: what the owners said of the prompt's parts decides where it takes them
// from, and those who ask for them next hear of it.
asio::awaitable<void> RequestRun::settleParts(forward::Wish &wish, forward::Choice &choice)
{
    forward::ServerBook &servers = run_.world.servers();
    servers.settleSource(wish, choice, run_.context.now());
    const bool learned = co_await learnHolders(wish, choice);
    if (learned) {
        servers.settleSource(wish, choice, run_.context.now());
    }
    const auto first = servers.firstFor(wish);
    if (first && first->id != choice.server.id) {
        places_.tellHolder(*first, choice.server, forward::sharedPartsKey(run_.call.prompt));
    }
    if (choice.held < forward::sharedPrefixes(run_.call.prompt).size()) {
        places_.tellParts(run_.call.prompt, choice.server);
    }
}

void RequestRun::givePlaceBack()
{
    if (run_.place) {
        places_.giveBack(*run_.place);
        run_.place.reset();
    }
}

bool RequestRun::mayTryAgain(AttemptEnd end)
{
    if (end == AttemptEnd::Unsent) {
        return run_.counts.unsent < MostUnsent;
    }
    const bool ranOut =
            run_.counts.sends >= run_.route.mostAttempts || run_.counts.rejected > MostRejections;
    if (ranOut || (run_.counts.sends > 0 && !run_.repeatable())) {
        return false;
    }
    const bool granted = run_.world.budget().take(run_.service, run_.context.now());
    run_.context.counters.add("repeats",
                              {{"granted", granted ? "yes" : "no"},
                               {"reason", end == AttemptEnd::Rejected ? "rejected" : "failed"}});
    return granted;
}

asio::awaitable<AttemptEnd> RequestRun::attempt()
{
    BackendExchange exchange(run_, pool_);
    // Before, as a kept connection that was found sound is to be used at once; and once more, as
    // the process may stand still while a new one is made.
    co_await run_.world.catchUp();
    const bool connected = co_await exchange.connect();
    co_await run_.world.catchUp();
    if (!connected || run_.stopped()) {
        co_return AttemptEnd::Unsent;
    }
    // Time has passed: the key, the server and the deadline are looked at once more.
    if (auto refusal = checkKey()) {
        exchange.release();
        if (run_.counts.sends > 0) {
            run_.lastMessage = refusal->message;
            run_.interrupt->reason = Interruption::Deadline;
            co_return AttemptEnd::Unsent;
        }
        co_await refuse(std::move(*refusal));
        co_return AttemptEnd::Answered;
    }
    // Since it was chosen the server may have left or asked for rest, or its hall been drained.
    const bool takesIt = run_.world.servers().mayBeSent(run_.choice.server, run_.context.now());
    const bool maySend = takesIt && run_.guard.mayBeSent();
    if (!maySend || run_.left() < LeastLeft) {
        exchange.release();
        co_return AttemptEnd::Unsent;
    }
    const AttemptEnd end = co_await exchange.play();
    co_return end;
}

asio::awaitable<void> RequestRun::giveUp()
{
    const Interruption reason = run_.interrupt->reason;
    if (reason == Interruption::CallerLeft) {
        run_.context.counters.add("results", {{"kind", "run"}, {"code", "caller-left"}});
        logEnd(run_, "caller-left");
        run_.reply.closeAfter();
        co_return;
    }
    if (run_.reply.begun()) {
        // The end of the connection without the end of the answer shows the caller the cut.
        run_.context.counters.add("results", {{"kind", "stream"}, {"code", "stream-cut"}});
        logEnd(run_, "stream-cut", run_.lastMessage);
        run_.reply.closeAfter();
        co_return;
    }
    const bool promises = run_.failedAnswer && promisesNotRun(run_.failedAnswer->status);
    if (run_.failedAnswer && reason == Interruption::None && (run_.repeatable() || !promises)) {
        run_.context.counters.add("results", {{"kind", "passed"}, {"code", "backend-failed"}});
        logEnd(run_, "backend-failed", run_.lastMessage);
        http::Answer answer = std::move(*run_.failedAnswer);
        co_await run_.reply.send(std::move(answer));
        co_return;
    }
    Refusal refusal{ResultCode::NoEngine, run_.lastMessage, true};
    if (run_.counts.sends > 0) {
        const bool late = reason == Interruption::Deadline;
        refusal = {late ? ResultCode::AnswerLost : ResultCode::BackendFailed, run_.lastMessage};
    } else if (allRest_) {
        refusal = {ResultCode::ServersRest, AllRest, true};
    } else if (run_.counts.rejected > 0) {
        refusal.code = ResultCode::BackendRefused;
    } else if (run_.counts.unsent > 0) {
        refusal.code = ResultCode::ConnectFailed;
    }
    co_await refuse(std::move(refusal));
}

asio::awaitable<void> RequestRun::refuse(Refusal refusal)
{
    const outcome::ResultInfo &info = outcome::info(refusal.code);
    run_.context.counters.add("results", {{"kind", "refused"}, {"code", std::string(info.name)}});
    logEnd(run_, info.name, refusal.message);
    kernel::Duration comeBack{};
    if (refusal.comeBackIn > 0s) {
        comeBack = refusal.comeBackIn;
    } else if (refusal.comeBack) {
        comeBack = std::clamp<kernel::Duration>(run_.route.objective / 4, 50ms, 500ms);
    }
    services::Refusal told = services::refusalOf(refusal.code, refusal.message, comeBack);
    http::Answer answer(info.httpStatus,
                        run_.world.adapter().dialect.refusalFields(run_.call.id, comeBack),
                        services::refusalJson(run_.call.id, told));
    answer.fields.add("Content-Type", "application/json");
    co_await run_.reply.send(std::move(answer));
}

} // namespace limereel::gateway
