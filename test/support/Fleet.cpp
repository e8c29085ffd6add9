#include "support/Fleet.h"

#include "config/TreeJson.h"
#include "config/Values.h"
#include "kernel/KeyHash.h"
#include "kernel/Log.h"
#include "services/CallerService.h"
#include "services/ConfigService.h"
#include "services/MembershipService.h"
#include "services/OwnerService.h"
#include "services/PeerService.h"
#include "services/Router.h"
#include "support/Ports.h"

#include <boost/asio.hpp>
#include <stdexcept>

namespace limereel::support {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr http::CallTimeouts CallerTimeouts{.connect = 5s, .head = 60s, .part = 60s};

kernel::BoxSettings fastSettings(const std::string &name, const std::string &hall)
{
    const std::string text =
            "[box]\nname = " + name + "\nhall = " + hall + "\nregion = here\nlog-level = error\n"
            + "[listen]\ncaller = " + kernel::text(freeEndpoint()) + "\ncontrol = "
            + kernel::text(freeEndpoint()) + "\npeer = " + kernel::text(freeEndpoint())
            + "\n[platform]\naddress = 127.0.0.1:1\ntimeout = 500ms\nwatch-timeout = "
              "500ms\ndirectory-period = 100ms\n"
            + "[peers]\nkeys = " + std::string(64, 'a')
            + "\nheartbeat-period = 50ms\nask-timeout = 100ms\nsettle = 200ms\n"
            + "permit-lease = 2s\n[operators]\nkeys = olga:" + kernel::keyHash(OperatorKeyText)
            + "\n[backends]\nprobe-period = 100ms\nfirst-token-timeout = 5s\ntoken-timeout = 5s\n"
            + "[stop]\nbalancer-lag = 200ms\ndeadline = 30s\n[placement]\nperiod = 100ms\nlease = "
              "1s\nguard = 200ms\n";
    auto settings = kernel::settingsFrom(text);
    if (!settings) {
        throw std::logic_error(kernel::text(settings.error().front(), "the fleet's settings"));
    }
    return *settings;
}

} // namespace

std::string CallerAnswer::text() const
{
    if (!body.starts_with("data:")) {
        const json object = json::parse(body, nullptr, false);
        const bool chat = object.is_object() && object.contains("choices");
        return chat ? object["choices"][0]["message"]["content"].get<std::string>() : std::string();
    }
    std::string text;
    for (std::size_t begin = 0; begin < body.size();) {
        const std::size_t end = std::min(body.find('\n', begin), body.size());
        const std::string line = body.substr(begin, end - begin);
        begin = end + 1;
        const json object =
                line.starts_with("data: ") ? json::parse(line.substr(6), nullptr, false) : json();
        if (object.is_object() && object.contains("choices")) {
            text += object["choices"][0]["delta"].value("content", std::string());
        }
    }
    return text;
}

Fleet::Fleet()
    : io_(1)
    , platform_(io_)
    , platformEndpoint_(freeEndpoint())
    , tree_(sampleTree())
{
    static const bool Logging = [] {
        kernel::startLog("error");
        return true;
    }();
    static_cast<void>(Logging);
    platform_.listen(platformEndpoint_);
}

Fleet::~Fleet()
{
    for (auto &entry : routers_) {
        if (entry->context) {
            entry->context->kernel.stop();
        }
    }
    // Coroutines that wait hold references to services; they end before these do.
    io_.stop();
}

Fleet &Fleet::engines(const std::string &hall, int count, const std::vector<std::string> &models)
{
    for (int index = 0; index < count; ++index) {
        auto entry = std::make_unique<EngineEntry>();
        entry->name = hall + "-engine-" + std::to_string(engines_.size());
        entry->hall = hall;
        standin::EngineOptions options;
        options.name = entry->name;
        options.models = models;
        options.loadLag = loadLag_;
        entry->standin = std::make_unique<standin::EngineStandin>(io_, options);
        entry->standin->listen({"127.0.0.1", 0});
        engines_.push_back(std::move(entry));
    }
    return *this;
}

Fleet &Fleet::loadLag(kernel::Duration lag)
{
    loadLag_ = lag;
    return *this;
}

Fleet &Fleet::serviceRunners(const std::string &hall, int count, const std::string &service)
{
    for (int index = 0; index < count; ++index) {
        auto entry = std::make_unique<ServiceEntry>();
        entry->name = hall + "-" + service + "-" + std::to_string(services_.size());
        entry->hall = hall;
        entry->service = service;
        entry->standin = std::make_unique<standin::ServiceStandin>(io_, entry->name);
        entry->standin->listen({"127.0.0.1", 0});
        services_.push_back(std::move(entry));
    }
    return *this;
}

Fleet &Fleet::routers(const std::string &hall, int count)
{
    for (int index = 0; index < count; ++index) {
        auto entry = std::make_unique<RouterEntry>();
        entry->settings = fastSettings("box-" + std::to_string(routers_.size()), hall);
        entry->settings.platform = platformEndpoint_;
        entry->settings.seed = routers_.size() + 1;
        change_(entry->settings);
        routers_.push_back(std::move(entry));
    }
    return *this;
}

Fleet &Fleet::settings(std::function<void(kernel::BoxSettings &)> change)
{
    change_ = std::move(change);
    return *this;
}

Fleet &Fleet::tree(std::string text)
{
    tree_ = std::move(text);
    return *this;
}

void Fleet::publish()
{
    std::map<std::string, json> halls;
    const auto hall = [&halls](const std::string &name) -> json & {
        return halls
                .try_emplace(name, json{{"region", "here"},
                                        {"boxes", json::array()},
                                        {"backends", json::array()}})
                .first->second;
    };
    for (const auto &entry : routers_) {
        hall(entry->settings.hall.text())["boxes"].push_back(
                {{"name", entry->settings.box.text()},
                 {"peer", kernel::text(entry->settings.peer)},
                 {"control", kernel::text(entry->settings.control)}});
    }
    for (const auto &entry : engines_) {
        if (entry->listed) {
            hall(entry->hall)["backends"].push_back(
                    {{"name", entry->name},
                     {"address", "127.0.0.1:" + std::to_string(entry->standin->port())},
                     {"room", 2},
                     {"checks-tokens", true},
                     {"leaving", entry->leaving}});
        }
    }
    for (const auto &entry : services_) {
        hall(entry->hall)["backends"].push_back(
                {{"name", entry->name},
                 {"address", "127.0.0.1:" + std::to_string(entry->standin->port())},
                 {"service", entry->service}});
    }
    for (const auto &[name, list] : halls) {
        platform_.setHall(name, list.dump());
    }
}

void Fleet::start()
{
    publish();
    if (!tree_.empty()) {
        await([this]() -> asio::awaitable<void> {
            http::Request put{"PUT", "/v1/objects/settings/tree",
                              http::Fields().with("If-Version", "0"), tree_};
            co_await http::call(io_, platformEndpoint_, std::move(put), CallerTimeouts);
        });
    }
    for (auto &entry : routers_) {
        startRouter(*entry);
    }
    if (!until([this] { return settled(); })) {
        throw std::runtime_error("the fleet didn't settle in time");
    }
}

bool Fleet::settled()
{
    for (auto &entry : routers_) {
        if (!entry->context || entry->stopped) {
            continue;
        }
        auto &kernel = entry->context->kernel;
        if (!kernel.find<services::CallerService>("caller").ready() && !tree_.empty()) {
            return false;
        }
        std::size_t boxes = 0;
        for (const auto &other : routers_) {
            boxes += other->context && !other->stopped
                                     && other->settings.hall == entry->settings.hall
                             ? 1
                             : 0;
        }
        if (kernel.find<services::MembershipService>("membership").owners().size() != boxes) {
            return false;
        }
        for (const auto &backend : kernel.find<services::OwnerService>("owner").view().backends) {
            if (!backend.open()) {
                return false;
            }
        }
    }
    return true;
}

bool Fleet::until(const std::function<bool()> &condition, kernel::Duration deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        io_.restart();
        io_.run_one_for(10ms);
    }
    return true;
}

void Fleet::await(std::function<asio::awaitable<void>()> work)
{
    bool done = false;
    asio::co_spawn(io_, std::move(work), [&done](const std::exception_ptr &) { done = true; });
    if (!until([&done] { return done; }, 120s)) {
        throw std::runtime_error("what the test waits for did not end");
    }
}

CallerAnswer Fleet::chat(std::size_t router, const Turn &turn)
{
    CallerAnswer answer;
    await([&]() -> asio::awaitable<void> { answer = co_await chatAsync(router, turn); });
    return answer;
}

CallerAnswer Fleet::call(std::size_t router, http::Request request)
{
    CallerAnswer answer;
    await([&]() -> asio::awaitable<void> { answer = co_await callAsync(router, request); });
    return answer;
}

http::Request Fleet::chatRequest(const Turn &turn)
{
    const json body = {{"model", turn.model},
                       {"stream", turn.stream},
                       {"max_tokens", turn.tokens},
                       {"messages", json::array({{{"role", "user"}, {"content", turn.says}}})}};
    http::Request request{"POST", "/v1/chat/completions", {}, body.dump()};
    request.fields.add("Authorization", "Bearer " + turn.key);
    request.fields.add("Content-Type", "application/json");
    if (!turn.chat.empty()) {
        request.fields.add("X-Chat-Id", turn.chat);
    }
    if (!turn.repeatable) {
        request.fields.add("X-Repeatable", "no");
    }
    if (!turn.token.empty()) {
        request.fields.add("X-Chat-Token", turn.token);
    }
    return request;
}

asio::awaitable<CallerAnswer> Fleet::chatAsync(std::size_t router, Turn turn)
{
    http::Request request = chatRequest(turn);
    co_return co_await callAsync(router, std::move(request));
}

asio::awaitable<CallerAnswer> Fleet::callAsync(std::size_t router, http::Request request)
{
    CallerAnswer answer;
    auto stream = co_await http::Stream::open(io_, routers_.at(router)->settings.caller,
                                              std::move(request), CallerTimeouts);
    if (!stream) {
        co_return answer;
    }
    answer.status = stream->status();
    answer.requestId = stream->field("X-Request-Id");
    answer.resultCode = stream->field("X-Result-Code");
    answer.ran = stream->field("X-Ran");
    answer.retryAfter = stream->field("Retry-After");
    answer.engine = stream->field("X-Engine");
    answer.route = stream->field("X-Route");
    answer.chatToken = stream->field("X-Chat-Token");
    while (true) {
        const auto part = co_await stream->read();
        if (!part) {
            co_return answer;
        }
        if (part->end) {
            answer.marked = isMarked(*part->end);
            break;
        }
        answer.body += part->bytes;
    }
    const bool streamed = stream->field("Content-Type") == "text/event-stream";
    const bool ended = !streamed || answer.body.find("data: [DONE]") != std::string::npos;
    answer.whole = answer.status == 200 && ended;
    co_return answer;
}

http::Answer Fleet::control(std::size_t router, const std::string &method, const std::string &path,
                            const std::string &body)
{
    http::Answer answer;
    await([&]() -> asio::awaitable<void> {
        http::Request request{method, path,
                              http::Fields().with("Authorization", "Bearer " + OperatorKeyText),
                              body};
        const auto result = co_await http::call(io_, routers_.at(router)->settings.control,
                                                std::move(request), CallerTimeouts);
        answer = result ? *result : http::Answer(0);
    });
    return answer;
}

http::Answer Fleet::set(std::size_t router, const std::string &path, const std::string &key,
                        const std::string &value)
{
    auto &config = context(router).kernel.find<services::ConfigService>("config");
    const json body = {
            {"base", config.installed().revision()},
            {"changes", json::array({{{"path", path}, {"key", key}, {"value", value}}})}};
    return control(router, "POST", "/v1/settings", body.dump());
}

void Fleet::startRouter(RouterEntry &entry)
{
    entry.stopped = false;
    entry.context = std::make_unique<services::Context>(io_, entry.settings);
    entry.context->incarnation = ++incarnations_;
    entry.context->random.seed(entry.settings.seed + incarnations_);
    services::addRouterServices(*entry.context, [&entry] {
        entry.stopped = true;
        entry.context->kernel.stop();
    });
    entry.context->kernel.start();
}

void Fleet::kill(std::size_t router)
{
    RouterEntry &entry = *routers_.at(router);
    entry.context->kernel.stop();
    graveyard_.push_back(std::move(entry.context));
}

void Fleet::revive(std::size_t router)
{
    RouterEntry &entry = *routers_.at(router);
    if (entry.context) {
        graveyard_.push_back(std::move(entry.context));
    }
    startRouter(entry);
}

void Fleet::forEach(int count, int atOnce, const std::function<asio::awaitable<void>(int)> &work)
{
    int next = 0;
    int open = atOnce;
    for (int worker = 0; worker < atOnce; ++worker) {
        asio::co_spawn(
                io_,
                [&]() -> asio::awaitable<void> {
                    while (next < count) {
                        const int number = next++;
                        co_await work(number);
                    }
                    --open;
                },
                asio::detached);
    }
    if (!until([&open] { return open == 0; }, 120s)) {
        throw std::runtime_error("what the test waits for did not end");
    }
}

void Fleet::cut(std::size_t router, std::size_t other, bool isCut)
{
    if (isCut) {
        cuts_.insert({router, other});
        cuts_.insert({other, router});
    } else {
        cuts_.erase({router, other});
        cuts_.erase({other, router});
    }
    for (const std::size_t end : {router, other}) {
        context(end).kernel.find<services::PeerService>("peer").setFilter(
                [this, end](const kernel::Endpoint &address) {
                    for (std::size_t index = 0; index < routers_.size(); ++index) {
                        if (routers_[index]->settings.peer == address) {
                            return !cuts_.contains({end, index});
                        }
                    }
                    return true;
                });
    }
}

standin::EngineStandin &Fleet::engineNamed(const std::string &name)
{
    for (auto &entry : engines_) {
        if (entry->name == name) {
            return *entry->standin;
        }
    }
    throw std::logic_error("there is no engine " + name);
}

void Fleet::unlistEngine(std::size_t index)
{
    engines_.at(index)->listed = false;
    publish();
}

void Fleet::listAsLeaving(std::size_t index)
{
    engines_.at(index)->leaving = true;
    publish();
}

int Fleet::engineRuns() const
{
    int runs = 0;
    for (const auto &entry : engines_) {
        for (const auto &[id, count] : entry->standin->runs()) {
            runs += count;
        }
    }
    return runs;
}

int Fleet::serviceRuns() const
{
    int runs = 0;
    for (const auto &entry : services_) {
        for (const auto &[id, count] : entry->standin->runs()) {
            runs += count;
        }
    }
    return runs;
}

std::map<std::string, int> Fleet::runsByRequest() const
{
    std::map<std::string, int> runs;
    for (const auto &entry : engines_) {
        for (const auto &[id, count] : entry->standin->runs()) {
            // An attempt's id is the request's with the attempt's number after the last dash.
            runs[id.substr(0, id.rfind('-'))] += count;
        }
    }
    return runs;
}

std::string sampleTree()
{
    config::Tree tree = config::emptyTree();
    const auto set = [](const std::string &path, const std::string &key, const std::string &value) {
        return config::Change{path, key, value};
    };
    const config::Update update{
            .revision = 1,
            .id = "first",
            .author = "olga",
            .at = "2026-01-01T00:00:00Z",
            .changes = {set("pool:small", "models", "small"),
                        set("service:calendar", "demand-key", "false"),
                        set("/", "allow-pools", "*"), set("/", "allow-services", "*"),
                        set("/", "max-in-flight", "1000"), set("/accra", "", ""),
                        set("/accra/hauler-a", "api-key-hashes",
                            kernel::keyHash("key-of-the-hauler-a")),
                        set("/accra/hauler-b", "api-key-hashes",
                            kernel::keyHash("key-of-the-hauler-b"))}};
    return config::toJson(config::applyUpdate(tree, update));
}

} // namespace limereel::support
