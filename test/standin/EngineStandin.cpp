#include "standin/EngineStandin.h"

#include "config/Values.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

namespace limereel::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BytesPerToken = 4;
constexpr std::uint32_t PrefillTokensPerStep = 256;
constexpr int DefaultAnswerTokens = 20;
constexpr kernel::Duration KeptForResume = 5s;

http::Answer plain(int status, const json &body)
{
    return http::Answer{status, http::Fields().with("Content-Type", "application/json"),
                        body.dump()};
}

http::Answer notStarted(const char *why, const std::string &rest = {})
{
    http::Answer answer{503, http::Fields().with("X-Not-Started", why), {}};
    if (!rest.empty()) {
        answer.fields.add("Retry-After", rest);
    }
    return answer;
}

bool take(int &fault)
{
    if (fault <= 0) {
        return false;
    }
    --fault;
    return true;
}

} // namespace

struct EngineStandin::Job
{
    Job(asio::io_context &io)
        : news(io)
    {
    }

    void tell() { news.cancel(); }

    std::string id;
    std::string echo; ///< What the answer begins with: tells whose it is.
    std::uint32_t cached = 0;
    std::uint32_t prefill = 0; ///< Tokens to work through before the first one.
    int tokens = 0;
    std::vector<json> frames;
    bool ended = false;
    bool cancelled = false;
    asio::steady_timer news;
};

EngineStandin::EngineStandin(asio::io_context &io, EngineOptions options)
    : io_(io)
    , options_(std::move(options))
    , server_(newServer())
{
    for (const std::string &model : options_.models) {
        models_[model] = true;
    }
}

std::unique_ptr<http::Server> EngineStandin::newServer()
{
    return std::make_unique<http::Server>(io_, http::ServerLimits{.bodyBytes = 67108864},
                                          [this](http::Request request, http::Reply &reply) {
                                              return handle(std::move(request), reply);
                                          });
}

void EngineStandin::crash()
{
    formerPort_ = port();
    server_.reset();
    restart();
}

void EngineStandin::comeBack()
{
    server_ = newServer();
    listen({"127.0.0.1", formerPort_});
}

void EngineStandin::restart()
{
    ++options_.incarnation;
    cache_.clear();
    cached_.clear();
    cachedTokens_ = 0;
    for (const auto &[id, job] : jobs_) {
        job->cancelled = true;
        job->tell();
    }
    jobs_.clear();
}

asio::awaitable<void> EngineStandin::handle(http::Request request, http::Reply &reply)
{
    if (faults.dead) {
        co_return;
    }
    const std::string path(request.path());
    constexpr std::string_view Generate = "/v1/generate/";
    if (path == "/v1/generate" && request.method == "POST") {
        co_await generate(std::move(request), reply);
        co_return;
    }
    if (path.starts_with(Generate) && request.method == "GET") {
        const auto from = config::toInteger(request.query("from"));
        co_await resume(path.substr(Generate.size()), static_cast<std::uint64_t>(from.value_or(0)),
                        reply);
        co_return;
    }
    http::Answer answer(404);
    if (path.starts_with(Generate) && request.method == "DELETE") {
        if (const auto job = jobs_.find(path.substr(Generate.size())); job != jobs_.end()) {
            job->second->cancelled = true;
            ++cancelled_;
            answer.status = 200;
        }
    } else if (path == "/v1/status") {
        answer = status();
    } else if (path == "/v1/orders") {
        answer = order(request);
    } else if (path.starts_with("/control")) {
        answer = control(request);
    }
    co_await reply.send(std::move(answer));
}

asio::awaitable<void> EngineStandin::generate(http::Request request, http::Reply &reply)
{
    if (!faults.endedBy.empty() && request.body.find(faults.endedBy) != std::string::npos) {
        if (!crashed()) {
            crash();
        }
        co_return;
    }
    const json body = json::parse(request.body, nullptr, false);
    const bool known = body.is_object() && models_.contains(body.value("model", std::string()))
                       && models_.at(body.value("model", std::string()));
    http::Answer refusal(0);
    if (faults.leaving) {
        refusal = notStarted("leaving");
    } else if (running_ >= options_.slots || take(faults.refuseFull)) {
        refusal = notStarted("full", faults.restAsked);
    } else if (!known) {
        refusal = notStarted("model");
    }
    if (refusal.status != 0) {
        co_await reply.send(std::move(refusal));
        co_return;
    }
    auto job = std::make_shared<Job>(io_);
    job->id = request.fields.get("X-Request-Id");
    const json &messages = body["messages"];
    job->echo = messages.back().value("content", std::string());
    job->tokens = body.value("max_tokens", DefaultAnswerTokens);
    const auto promptTokens = static_cast<std::uint32_t>(messages.dump().size() / BytesPerToken);
    job->cached = usePrefix(std::string(request.fields.get("X-Cache-Key")),
                            promptTokens + static_cast<std::uint32_t>(job->tokens));
    job->prefill = promptTokens > job->cached ? promptTokens - job->cached : 0;
    jobs_[job->id] = job;
    ++runs_[job->id];
    asio::co_spawn(io_, work(job), asio::detached);
    if (take(faults.dropUnanswered)) {
        co_return;
    }
    if (take(faults.failAnswer)) {
        refusal = plain(500, "it failed");
        co_await reply.send(std::move(refusal));
        co_return;
    }
    co_await stream(job, 0, reply, true);
}

asio::awaitable<void> EngineStandin::resume(std::string id, std::uint64_t from, http::Reply &reply)
{
    const auto place = jobs_.find(id);
    if (place == jobs_.end()) {
        http::Answer unknown(404);
        co_await reply.send(std::move(unknown));
        co_return;
    }
    co_await stream(place->second, from, reply, true);
}

asio::awaitable<void> EngineStandin::stream(JobPtr job, std::uint64_t from, http::Reply &reply,
                                            bool withFaults)
{
    http::Fields head = http::Fields().with("Content-Type", "text/event-stream");
    if (!co_await reply.begin(200, std::move(head))) {
        co_return;
    }
    const auto text = [](const json &frame) { return "data: " + frame.dump() + "\n\n"; };
    const bool cut = withFaults && take(faults.cutStream);
    std::uint64_t next = from;
    while (!job->cancelled) {
        while (next < job->frames.size()) {
            if (cut && next >= from + faults.cutAfter) {
                co_return;
            }
            const json &frame = job->frames[next];
            std::string out = text(frame);
            if (withFaults && take(faults.foreignFrame)) {
                json foreign = frame;
                foreign["request"] = "someone-else";
                foreign["text"] = "not yours ";
                out = text(foreign) + out;
            }
            if (withFaults && take(faults.repeatFrame)) {
                out += text(frame);
            }
            if (withFaults && faults.swapFrames > 0 && next + 1 < job->frames.size()) {
                --faults.swapFrames;
                out = text(job->frames[next + 1]) + out;
                ++next;
            }
            if (withFaults && frame.value("end", false) && take(faults.loseEnd)) {
                jobs_.erase(job->id);
                co_return;
            }
            ++next;
            if (!co_await reply.write(out)) {
                co_return;
            }
        }
        if (job->ended && next >= job->frames.size()) {
            co_await reply.finish();
            co_return;
        }
        job->news.expires_at(asio::steady_timer::time_point::max());
        co_await job->news.async_wait(Quiet);
    }
}

asio::awaitable<void> EngineStandin::work(JobPtr job)
{
    ++running_;
    pastLoads_.emplace_back(std::chrono::steady_clock::now(), running_);
    greatest_ = std::max(greatest_, running_);
    asio::steady_timer step(io_);
    const auto frame = [&job](const std::string &text) {
        return json{{"request", job->id}, {"sequence", job->frames.size()}, {"text", text}};
    };
    const std::uint32_t prefillSteps = job->prefill / PrefillTokensPerStep;
    for (std::uint32_t done = 0; done < prefillSteps && !job->cancelled; ++done) {
        step.expires_after(options_.step);
        co_await step.async_wait(Quiet);
    }
    for (int token = 0; token < job->tokens && !job->cancelled; ++token) {
        step.expires_after(options_.step);
        co_await step.async_wait(Quiet);
        job->frames.push_back(
                frame(token == 0 ? "[" + job->echo + "]" : " t" + std::to_string(token)));
        job->tell();
    }
    json last = frame(job->cancelled ? "cancelled" : "stop");
    last["end"] = true;
    last["cached"] = job->cached;
    job->frames.push_back(last);
    job->ended = true;
    --running_;
    pastLoads_.emplace_back(std::chrono::steady_clock::now(), running_);
    job->tell();
    step.expires_after(KeptForResume);
    co_await step.async_wait(Quiet);
    if (const auto place = jobs_.find(job->id); place != jobs_.end() && place->second == job) {
        jobs_.erase(place);
    }
}

http::Answer EngineStandin::order(const http::Request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    const auto token = body.value("token", std::uint64_t{0});
    const std::string model = body.value("model", std::string());
    if (options_.checksTokens && token < token_) {
        return plain(409, {{"error", "the token is older than " + std::to_string(token_)}});
    }
    token_ = std::max(token_, token);
    orders_.push_back(body.value("order", std::string()) + " " + model + " "
                      + std::to_string(token));
    if (body.value("order", std::string()) == "unload") {
        models_.erase(model);
        return plain(200, "done");
    }
    if (models_.try_emplace(model, false).second) {
        auto timer = std::make_shared<asio::steady_timer>(io_, options_.loadTime);
        timer->async_wait([this, timer, model](boost::system::error_code) {
            if (const auto place = models_.find(model); place != models_.end()) {
                place->second = true;
            }
        });
    }
    return plain(202, "loading");
}

// The load as it was a lag ago; older changes are dropped.
std::size_t EngineStandin::laggingLoad()
{
    const auto then = std::chrono::steady_clock::now() - options_.loadLag;
    while (pastLoads_.size() > 1 && pastLoads_[1].first <= then) {
        pastLoads_.pop_front();
    }
    return pastLoads_.empty() || pastLoads_.front().first > then ? 0 : pastLoads_.front().second;
}

http::Answer EngineStandin::status()
{
    json ready = json::array();
    json loading = json::array();
    for (const auto &[model, isReady] : models_) {
        (isReady ? ready : loading).push_back(model);
    }
    return plain(200, {{"incarnation", options_.incarnation},
                       {"running", laggingLoad()},
                       {"leaving", faults.leaving},
                       {"models", ready},
                       {"loading", loading}});
}

http::Answer EngineStandin::control(const http::Request &request)
{
    if (request.method == "GET") {
        return plain(200, {{"runs", runs_},
                           {"hits", prefixHits_},
                           {"misses", prefixMisses_},
                           {"running", running_},
                           {"greatest", greatest_},
                           {"cancelled", cancelled_}});
    }
    const json body = json::parse(request.body, nullptr, false);
    faults.refuseFull = body.value("refuse-full", faults.refuseFull);
    faults.dropUnanswered = body.value("drop-unanswered", faults.dropUnanswered);
    faults.failAnswer = body.value("fail-answer", faults.failAnswer);
    faults.cutStream = body.value("cut-stream", faults.cutStream);
    faults.cutAfter = body.value("cut-after", faults.cutAfter);
    faults.loseEnd = body.value("lose-end", faults.loseEnd);
    faults.leaving = body.value("leaving", faults.leaving);
    if (body.value("restart", false)) {
        restart();
    }
    return plain(200, "done");
}

std::uint32_t EngineStandin::usePrefix(const std::string &key, std::uint32_t tokens)
{
    std::uint32_t found = 0;
    if (const auto place = cached_.find(key); place != cached_.end()) {
        found = place->second->second;
        cachedTokens_ -= found;
        cache_.erase(place->second);
        cached_.erase(place);
    }
    ++(found > 0 ? prefixHits_ : prefixMisses_);
    cache_.emplace_front(key, tokens);
    cached_[key] = cache_.begin();
    cachedTokens_ += tokens;
    while (cachedTokens_ > options_.cacheTokens && cache_.size() > 1) {
        cachedTokens_ -= cache_.back().second;
        cached_.erase(cache_.back().first);
        cache_.pop_back();
    }
    return found;
}

} // namespace limereel::standin
