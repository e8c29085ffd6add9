#include "services/ChatHandler.h"

#include "outcome/AttemptSummary.h"
#include "outcome/NextStep.h"
#include "routing/ChatToken.h"
#include "services/Answers.h"
#include "services/BackoffService.h"
#include "services/ChatRequest.h"
#include "services/ChatRun.h"
#include "services/ConfigService.h"
#include "services/CrashGuard.h"
#include "services/PermitService.h"
#include "services/SpillService.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

namespace limereel::services {

namespace asio = boost::asio;
using nlohmann::json;
using outcome::ResultCode;
using outcome::Verdict;

namespace {

constexpr int MaxAttempts = 4;
constexpr const char *ChatTarget = "chat";
constexpr const char *AllInBackoff = "the engines that could take it have asked for rest";

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

/** Serves one chat request. */
class ChatHandler::Run
{
public:
    Run(ChatHandler &handler, http::Reply &reply, config::OrganisationSettings organisation,
        std::string id)
        : handler_(handler)
        , context_(handler.context_)
        , reply_(reply)
        , organisation_(std::move(organisation))
        , id_(std::move(id))
        , startedAt_(context_.now())
        , guard_(context_)
    {
    }

    asio::awaitable<void> serve(http::Request request)
    {
        auto chat = chatRequestFrom(request);
        if (!chat) {
            co_await refuse(refusalOf(ResultCode::BadRequest, chat.error()));
            co_return;
        }
        chat_ = std::move(*chat);
        if (const auto refusal = prepare(request)) {
            co_await refuse(*refusal);
            co_return;
        }
        auto &permits = context_.kernel.find<PermitService>("permits");
        const auto quota = co_await permits.acquireQuota(need_.organisation);
        if (!quota) {
            co_await refuse(refusalOf(quota.error().code, "the organisation is at its limit",
                                      quota.error().retryDelay));
            co_return;
        }
        handler_.budget_.earn();
        co_await runAttempts();
        permits.giveBack(*quota, peer::Observed::Served);
    }

private:
    std::optional<Refusal> prepare(const http::Request &request)
    {
        const auto &effective = context_.kernel.find<ConfigService>("config").effective();
        const config::PoolSettings *const pool = effective.poolOfModel(chat_.model);
        if (pool == nullptr) {
            return refusalOf(ResultCode::UnknownModel, "there is no model '" + chat_.model + "'");
        }
        if (!organisation_.mayUsePool(pool->name)) {
            return refusalOf(ResultCode::PoolForbidden,
                             "the organisation may not use pool '" + pool->name + "'");
        }
        const kernel::OrganisationId organisation(organisation_.path);
        const kernel::ModelId model(chat_.model);
        need_.organisation = organisation.hash();
        need_.chat = kernel::chatKey(organisation, model, chat_.chat);
        need_.model = membership::shortHash(model.hash());
        need_.candidates = pool->candidates;
        spill_ = pool->spill;
        guard_.setParts({.organisation = organisation_.path,
                         .method = request.method,
                         .host = {},
                         .target = ChatTarget,
                         .body = chat_.engineBody});
        if (const auto token = request.fields.get("X-Chat-Token"); !token.empty()) {
            applyToken(token);
        }
        return std::nullopt;
    }

    void applyToken(std::string_view token)
    {
        const auto holder = routing::readChatToken(token, need_.chat, handler_.keys_);
        context_.counters.add("chat_tokens", {{"valid", holder ? "yes" : "no"}});
        if (holder) {
            need_.preferred = holder->engine;
            need_.preferredIncarnation = static_cast<std::uint32_t>(holder->incarnation);
        }
    }

    asio::awaitable<void> runAttempts()
    {
        auto &permits = context_.kernel.find<PermitService>("permits");
        for (int number = 1;; ++number) {
            const SendPermission permission =
                    co_await guard_.acquireSendPermission(context_.settings.firstTokenTimeout);
            if (!permission.granted()) {
                co_await giveUp(refusalOf(codeOf(permission), denialMessage(permission),
                                          permission.notBefore));
                co_return;
            }
            auto permit = co_await permits.acquireEngine(need_);
            if (!permit && spill_) {
                auto elsewhere =
                        co_await context_.kernel.find<SpillService>("spill").acquire(need_);
                // If no other hall has capacity either, the reason and the Retry-After advice of
                // this box's hall are returned.
                if (elsewhere) {
                    permit = std::move(elsewhere);
                }
            }
            if (!permit) {
                const Refusal none =
                        refusalOf(permit.error().code, "no engine can take the request now",
                                  permit.error().retryDelay);
                co_await giveUp(none);
                co_return;
            }
            permit_ = *permit;
            // The boxes of another hall don't know which engines have asked this box to back off.
            if (context_.kernel.find<BackoffService>("rests").inBackoff(permit_.incarnationKey())) {
                permits.giveBack(permit_, peer::Observed::Unused);
                co_await giveUp(
                        refusalOf(ResultCode::ServersRest, AllInBackoff, RetryDelayAfterFailure));
                co_return;
            }
            const ChatOutcome outcome = co_await attempt(number);
            if (outcome.callerLeft) {
                count(ResultCode::CallerLeft);
                co_return;
            }
            if (!outcome.failure) {
                co_await finish(outcome);
                co_return;
            }
            const Verdict verdict =
                    outcome::classifyFailure(*outcome.failure, {chat_.repeatable, reply_.begun()});
            summary_.add(verdict);
            const auto next = outcome::afterFailure(verdict, number, MaxAttempts, handler_.budget_);
            if (!next.retry) {
                Refusal failed{next.verdict, outcome.message, RetryDelayAfterFailure};
                co_await giveUp(std::move(failed));
                co_return;
            }
            context_.counters.add("retries", {{"reason", outcome::text(*outcome.failure)}});
            need_.excluded.insert(permit_.resource);
            need_.preferred.reset();
        }
    }

    asio::awaitable<ChatOutcome> attempt(int number)
    {
        EngineRequest engineRequest{.request = id_ + "-" + std::to_string(number),
                                    .body = chat_.engineBody,
                                    .cacheKey = toHex(need_.chat),
                                    .priority = organisation_.priority};
        text_.clear();
        pending_.clear();
        FrameSink sink{.deliver = [this](const answer::Frame &frame) { deliver(frame); },
                       .flush = [this] { return flush(); },
                       .disconnected = [this] { return callerDisconnected(); }};
        auto outcome = co_await runChat(context_, permit_.backend, std::move(engineRequest),
                                        std::move(sink));
        using peer::Observed;
        Observed observed = Observed::Served;
        if (outcome.failure == outcome::FailurePoint::BeforeConnect) {
            observed = Observed::Unreachable;
        } else if (outcome.leaving) {
            observed = Observed::RefusedLeaving;
        }
        context_.kernel.find<PermitService>("permits").giveBack(permit_, observed);
        context_.kernel.find<BackoffService>("rests").note(
                permit_.incarnationKey(), permit_.backend.backend.text(), outcome.backoff);
        co_await recordAttempt(outcome);
        co_return outcome;
    }

    asio::awaitable<void> recordAttempt(const ChatOutcome &outcome)
    {
        AttemptOutcome attemptResult = AttemptOutcome::Whole;
        if (outcome.callerLeft) {
            attemptResult = AttemptOutcome::Interrupted;
        } else if (outcome.failure) {
            attemptResult = attemptOutcomeOf(*outcome.failure);
        }
        AttemptServer server;
        server.id = permit_.backend.backend.text();
        server.incarnationKey = permit_.incarnationKey();
        if (const auto address = kernel::endpointFrom(permit_.backend.address)) {
            server.address = *address;
        }
        co_await guard_.noteEnd(attemptResult, std::move(server));
    }

    void deliver(const answer::Frame &frame)
    {
        guard_.notePiece();
        if (frame.sequence == 0) {
            context_.counters.observe("first_token_seconds",
                                      kernel::seconds(context_.now() - startedAt_));
        }
        if (!chat_.stream) {
            text_ += frame.end ? "" : frame.text;
            return;
        }
        // The parts that are the same in all chunks of an answer are serialised once: building the
        // JSON object for each chunk took most of the time spent on a token.
        pending_ += chunkHead();
        pending_ += frame.end ? "{},\"finish_reason\":" : "{\"content\":";
        pending_ += dump(json(frame.text));
        pending_ += frame.end ? "}]}\n\n" : "},\"finish_reason\":null}]}\n\n";
    }

    // A write of a streamed answer fails if the caller has disconnected. An answer that is
    // collected writes nothing until its end, so the connection is checked from time to time.
    bool callerDisconnected()
    {
        constexpr kernel::Duration CheckInterval = 200ms;
        if (chat_.stream || context_.now() - connectionCheckedAt_ < CheckInterval) {
            return false;
        }
        connectionCheckedAt_ = context_.now();
        return reply_.clientGone();
    }

    const std::string &chunkHead()
    {
        if (chunkHead_.empty()) {
            chunkHead_ = "data: {\"id\":" + dump(json(id_))
                         + ",\"object\":\"chat.completion.chunk\",\"created\":"
                         + std::to_string(std::time(nullptr)) + ",\"model\":"
                         + dump(json(chat_.model)) + ",\"choices\":[{\"index\":0,\"delta\":";
        }
        return chunkHead_;
    }

    asio::awaitable<bool> flush()
    {
        if (pending_.empty()) {
            co_return true;
        }
        if (!reply_.begun()) {
            http::Fields fields = answerFields("text/event-stream");
            const bool sent = co_await reply_.begin(200, std::move(fields));
            if (!sent) {
                co_return false;
            }
        }
        const std::string part = std::exchange(pending_, {});
        co_return co_await reply_.write(part);
    }

    asio::awaitable<void> finish(const ChatOutcome &outcome)
    {
        context_.counters.add("prefix_tokens_cached", {}, outcome.cachedTokens);
        context_.counters.add("chat_turns",
                              {{"prefix", outcome.cachedTokens > 0 ? "found" : "not-found"}});
        context_.counters.add("frames", {}, outcome.frames);
        count(ResultCode::Ok);
        if (chat_.stream) {
            // The first line is a comment, which clients of server-sent events ignore.
            co_await reply_.write(": result 0 ok\n\ndata: [DONE]\n\n");
            co_await reply_.finish();
            co_return;
        }
        const json choice = {{"index", 0},
                             {"message", {{"role", "assistant"}, {"content", text_}}},
                             {"finish_reason", outcome.endReason}};
        http::Answer answer(200, answerFields("application/json"), dump(completion(choice)));
        co_await reply_.send(std::move(answer));
    }

    json completion(const json &choice) const
    {
        return {{"id", id_},
                {"object", "chat.completion"},
                {"created", std::time(nullptr)},
                {"model", chat_.model},
                {"choices", json::array({choice})}};
    }

    http::Fields answerFields(const char *type) const
    {
        http::Fields fields = resultFields(id_, {ResultCode::Ok, outcome::Ran::Ran, false});
        fields.add("Content-Type", type);
        fields.add("X-Engine", permit_.backend.backend.text());
        fields.add("X-Route", routing::text(permit_.reason));
        fields.add("X-Chat-Token",
                   routing::makeChatToken(need_.chat, {permit_.resource, permit_.incarnation},
                                          handler_.keys_.front()));
        return fields;
    }

    asio::awaitable<void> giveUp(Refusal refusal)
    {
        refusal.verdict = summary_.finalVerdict(refusal.verdict);
        co_await refuse(refusal);
    }

    asio::awaitable<void> refuse(const Refusal &refusal)
    {
        count(refusal.verdict.code);
        if (!reply_.begun()) {
            co_await reply_.send(refusalAnswer(id_, refusal));
            co_return;
        }
        // The final chunk of the chunked encoding isn't sent, so that the caller's HTTP client also
        // detects the truncated answer.
        co_await reply_.write("event: error\ndata: " + refusalJson(id_, refusal) + "\n\n");
    }

    void count(ResultCode code)
    {
        context_.counters.add("results",
                              {{"kind", "chat"}, {"code", std::string(outcome::info(code).name)}});
    }

    static constexpr kernel::Duration RetryDelayAfterFailure = 1s;

    ChatHandler &handler_;
    Context &context_;
    http::Reply &reply_;
    config::OrganisationSettings organisation_;
    std::string id_;
    kernel::Instant startedAt_;
    CrashGuard guard_;
    kernel::Instant connectionCheckedAt_; ///< When the caller's connection was last checked.
    ChatRequest chat_;
    EngineRequirements need_;
    bool spill_ = false;
    Permit permit_;
    outcome::AttemptSummary summary_;
    std::string text_;      ///< Text of an answer that isn't streamed.
    std::string pending_;   ///< Chunks that haven't been sent yet.
    std::string chunkHead_; ///< The common beginning of all chunks of the answer.
};

ChatHandler::ChatHandler(Context &context, outcome::RetryBudget &budget)
    : context_(context)
    , budget_(budget)
{
    for (const std::string &hex : context.settings.peerKeys) {
        keys_.push_back(peer::peerKeyFromHex(hex).value());
    }
}

asio::awaitable<void> ChatHandler::handle(http::Request request, http::Reply &reply,
                                          config::OrganisationSettings organisation,
                                          std::string requestId)
{
    Run run(*this, reply, std::move(organisation), std::move(requestId));
    co_await run.serve(std::move(request));
}

} // namespace limereel::services
