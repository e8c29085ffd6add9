#include "services/ServiceHandler.h"

#include "http/Client.h"
#include "outcome/AttemptSummary.h"
#include "outcome/NextStep.h"
#include "services/Answers.h"
#include "services/BackoffService.h"
#include "services/ClaimService.h"
#include "services/ConfigService.h"
#include "services/CrashGuard.h"
#include "services/OwnerService.h"
#include "services/PermitService.h"

#include <algorithm>
#include <set>

namespace limereel::services {

namespace asio = boost::asio;
using outcome::FailurePoint;
using outcome::ResultCode;
using outcome::Verdict;

namespace {

constexpr int MaxAttempts = 3;
constexpr std::size_t MaxKeyBytes = 255;
constexpr std::string_view Prefix = "/v1/services/";
constexpr kernel::Duration RetryDelayAfterFailure = 1s;

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

/** The parts of the path "/v1/services/NAME/rest?query". */
struct Target
{
    std::string service;
    std::string rest;
};

Target targetOf(const std::string &target)
{
    const std::string_view tail = std::string_view(target).substr(Prefix.size());
    const std::size_t end = std::min(tail.find_first_of("/?"), tail.size());
    std::string rest(tail.substr(end));
    if (!rest.starts_with('/')) {
        rest.insert(0, "/");
    }
    return {std::string(tail.substr(0, end)), std::move(rest)};
}

} // namespace

/** Serves one call to a plain service. */
class ServiceHandler::Run
{
public:
    Run(ServiceHandler &handler, http::Reply &reply, config::OrganisationSettings organisation,
        std::string id)
        : handler_(handler)
        , context_(handler.context_)
        , reply_(reply)
        , organisation_(std::move(organisation))
        , id_(std::move(id))
        , guard_(context_)
    {
    }

    asio::awaitable<void> serve(http::Request request)
    {
        request_ = std::move(request);
        target_ = targetOf(request_.target);
        if (const auto refusal = prepare()) {
            co_await refuse(*refusal);
            co_return;
        }
        auto &permits = context_.kernel.find<PermitService>("permits");
        const auto quota = co_await permits.acquireQuota(kernel::hashOf(organisation_.path));
        if (!quota) {
            co_await refuse(refusalOf(quota.error().code, "the organisation is at its limit",
                                      quota.error().retryDelay));
            co_return;
        }
        handler_.budget_.earn();
        co_await claimAndRun();
        permits.giveBack(*quota, peer::Observed::Served);
    }

private:
    std::optional<Refusal> prepare()
    {
        const auto &effective = context_.kernel.find<ConfigService>("config").effective();
        const config::ServiceSettings *const service = effective.service(target_.service);
        if (service == nullptr) {
            return refusalOf(ResultCode::UnknownService,
                             "there is no service '" + target_.service + "'");
        }
        if (!organisation_.mayUseService(service->name)) {
            return refusalOf(ResultCode::PoolForbidden,
                             "the organisation may not use service '" + service->name + "'");
        }
        guard_.setParts({.organisation = organisation_.path,
                         .method = request_.method,
                         .host = target_.service,
                         .target = target_.rest,
                         .body = request_.body});
        repeatable_ = isSafeMethod(request_.method) || service->repeatable;
        key_ = request_.fields.get("Idempotency-Key");
        if (key_.size() > MaxKeyBytes) {
            return refusalOf(ResultCode::BadRequest,
                             "the Idempotency-Key must have at most 255 bytes");
        }
        if (!repeatable_ && service->demandKey && key_.empty()) {
            return refusalOf(ResultCode::MissingIdempotencyKey,
                             "service '" + service->name
                                     + "' takes such a call only with an Idempotency-Key");
        }
        return std::nullopt;
    }

    asio::awaitable<void> claimAndRun()
    {
        const bool keyed = !repeatable_ && !key_.empty();
        HeldClaim claim;
        if (keyed) {
            const auto held = co_await context_.kernel.find<ClaimService>("claims").claim(
                    organisation_.path, target_.service, key_, id_);
            if (!held) {
                const bool taken = held.error() == ResultCode::AlreadyClaimed;
                co_await refuse(refusalOf(held.error(),
                                          taken ? "a request with this key came before"
                                                : "the key could not be claimed",
                                          taken ? kernel::Duration()
                                                : kernel::Duration(RetryDelayAfterFailure)));
                co_return;
            }
            claim = *held;
        }
        const std::optional<Refusal> failed = co_await runAttempts();
        if (!failed) {
            co_return;
        }
        // Released before the answer is sent, so that the caller can retry under the same key at
        // once.
        if (keyed && failed->verdict.ran == outcome::Ran::NotRun) {
            co_await context_.kernel.find<ClaimService>("claims").release(claim);
        }
        co_await refuse(*failed);
    }

    // Returns nothing if an answer was sent, else the refusal to send.
    asio::awaitable<std::optional<Refusal>> runAttempts()
    {
        for (int number = 1;; ++number) {
            const SendPermission permission =
                    co_await guard_.acquireSendPermission(context_.settings.firstTokenTimeout);
            if (!permission.granted()) {
                co_return summarised(refusalOf(codeOf(permission), denialMessage(permission),
                                               permission.notBefore));
            }
            const auto runner = chooseRunner();
            if (!runner) {
                co_return summarised(noRunner());
            }
            ++handler_.inFlight_[runner->backend.hash()];
            auto answer = co_await call(*runner);
            --handler_.inFlight_[runner->backend.hash()];
            recordBackoff(*runner, answer);
            const auto failure = failureOf(answer);
            co_await recordAttempt(*runner, failure);
            if (!failure) {
                co_await forwardAnswer(std::move(*answer));
                co_return std::nullopt;
            }
            const Verdict verdict = outcome::classifyFailure(*failure, {repeatable_, false});
            summary_.add(verdict);
            const std::string message =
                    answer ? "the service did not take the request" : answer.error().message;
            const auto next = outcome::afterFailure(verdict, number, MaxAttempts, handler_.budget_);
            if (!next.retry) {
                co_return summarised({next.verdict, message, RetryDelayAfterFailure});
            }
            context_.counters.add("retries", {{"reason", outcome::text(*failure)}});
            excluded_.insert(runner->backend.hash());
        }
    }

    // Chooses the runner with the fewest calls in flight from this router; ties are broken at
    // random.
    std::optional<store::ListedBackend> chooseRunner()
    {
        auto runners =
                context_.kernel.find<OwnerService>("owner").view().runnersOf(target_.service);
        const auto &backoffs = context_.kernel.find<BackoffService>("rests");
        someInBackoff_ = false;
        std::erase_if(runners, [&](const BackendView *runner) {
            const std::uint64_t hash = runner->listed.backend.hash();
            const bool inBackoff = backoffs.inBackoff(hash);
            someInBackoff_ = someInBackoff_ || inBackoff;
            return inBackoff || excluded_.contains(hash);
        });
        if (runners.empty()) {
            return std::nullopt;
        }
        std::ranges::shuffle(runners, context_.random);
        const auto best = std::ranges::min_element(runners, {}, [this](const BackendView *runner) {
            return handler_.inFlight_[runner->listed.backend.hash()];
        });
        return (*best)->listed;
    }

    Refusal noRunner() const
    {
        return someInBackoff_
                       ? refusalOf(ResultCode::ServersRest,
                                   "the runners of the service have asked for rest",
                                   RetryDelayAfterFailure)
                       : refusalOf(ResultCode::NoEngine, "no runner of the service can be reached",
                                   RetryDelayAfterFailure);
    }

    void recordBackoff(const store::ListedBackend &runner,
                       const tl::expected<http::Answer, http::CallFailure> &answer)
    {
        if (answer) {
            context_.kernel.find<BackoffService>("rests").note(
                    runner.backend.hash(), runner.backend.text(),
                    requestedBackoff(answer->status, answer->fields));
        }
    }

    asio::awaitable<tl::expected<http::Answer, http::CallFailure>>
    call(const store::ListedBackend &runner)
    {
        const auto endpoint = kernel::endpointFrom(runner.address);
        if (!endpoint) {
            co_return tl::unexpected(
                    http::CallFailure{FailurePoint::BeforeConnect, false, endpoint.error()});
        }
        http::Request request{
                request_.method, target_.rest,
                http::Fields().with("X-Request-Id", id_).with("X-Organisation", organisation_.path),
                request_.body};
        if (const auto type = request_.fields.get("Content-Type"); !type.empty()) {
            request.fields.add("Content-Type", std::string(type));
        }
        const http::CallTimeouts timeouts{.connect = context_.settings.connectTimeout,
                                          .head = context_.settings.firstTokenTimeout,
                                          .part = context_.settings.tokenTimeout};
        co_return co_await http::call(context_.io, *endpoint, std::move(request), timeouts);
    }

    std::optional<FailurePoint>
    failureOf(const tl::expected<http::Answer, http::CallFailure> &answer) const
    {
        if (!answer) {
            return answer.error().point;
        }
        if (!answer->fields.get("X-Not-Started").empty()) {
            return FailurePoint::RefusedUnstarted;
        }
        return answer->fields.get("X-Request-Id") == id_
                       ? std::nullopt
                       : std::optional(FailurePoint::AnswerForeign);
    }

    // The platform's list has no incarnation of a runner, so the hash of its name stands in for it:
    // a runner that crashes twice counts once.
    asio::awaitable<void> recordAttempt(const store::ListedBackend &runner,
                                        std::optional<FailurePoint> failure)
    {
        AttemptServer server;
        server.id = runner.backend.text();
        server.incarnationKey = runner.backend.hash();
        if (const auto address = kernel::endpointFrom(runner.address)) {
            server.address = *address;
        }
        co_await guard_.noteEnd(failure ? attemptOutcomeOf(*failure) : AttemptOutcome::Whole,
                                std::move(server));
    }

    asio::awaitable<void> forwardAnswer(http::Answer answer)
    {
        const bool failed = answer.status >= 500;
        const ResultCode code = failed ? ResultCode::BackendFailed : ResultCode::Ok;
        http::Answer out{answer.status, resultFields(id_, {code, outcome::Ran::Ran, false}),
                         std::move(answer.body)};
        out.fields.add("Content-Type", std::string(answer.fields.get("Content-Type")));
        out.endMarked = answer.endMarked;
        count(code);
        co_await reply_.send(std::move(out));
    }

    Refusal summarised(Refusal refusal) const
    {
        refusal.verdict = summary_.finalVerdict(refusal.verdict);
        return refusal;
    }

    asio::awaitable<void> refuse(const Refusal &refusal)
    {
        count(refusal.verdict.code);
        co_await reply_.send(refusalAnswer(id_, refusal));
    }

    void count(ResultCode code)
    {
        context_.counters.add(
                "results", {{"kind", "service"}, {"code", std::string(outcome::info(code).name)}});
    }

    ServiceHandler &handler_;
    Context &context_;
    http::Reply &reply_;
    config::OrganisationSettings organisation_;
    std::string id_;
    http::Request request_;
    Target target_;
    CrashGuard guard_;
    std::string key_;
    bool repeatable_ = false;
    std::set<std::uint64_t> excluded_;
    bool someInBackoff_ = false; ///< Whether a runner was in backoff when one was last chosen.
    outcome::AttemptSummary summary_;
};

asio::awaitable<void> ServiceHandler::handle(http::Request request, http::Reply &reply,
                                             config::OrganisationSettings organisation,
                                             std::string requestId)
{
    Run run(*this, reply, std::move(organisation), std::move(requestId));
    co_await run.serve(std::move(request));
}

} // namespace limereel::services
