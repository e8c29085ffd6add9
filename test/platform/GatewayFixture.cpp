#include "platform/GatewayFixture.h"

#include "support/Ports.h"

#include <fstream>
#include <sstream>

namespace limereel::support {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

json route(const std::string &prefix, const std::string &kind, int attempts)
{
    return {{"name", "r" + prefix},
            {"host", "calls.example"},
            {"path_prefix", prefix},
            {"kind", kind},
            {"timeout_ms", 20000},
            {"goal_ms", 10000},
            {"priority", 1},
            {"service", "pool"},
            {"max_attempts", attempts},
            {"anonymous", false},
            {"sticky", kind == "streaming"},
            {"can_resume", false},
            {"gap_goal_ms", 400}};
}

} // namespace

GatewayFixture::GatewayFixture()
    : storeAt_(freeEndpoint())
    , caller_(freeEndpoint())
    , ready_(freeEndpoint())
    , control_(freeEndpoint())
    , peer_(freeEndpoint())
{
    store_ = std::make_unique<standin::StoreStandin>(io_, storeAt_);
    for (const char *name : {"i-one", "i-two"}) {
        runners_.push_back(std::make_unique<standin::RunnerStandin>(io_, name, freeEndpoint()));
    }
}

GatewayFixture::~GatewayFixture()
{
    if (context_) {
        context_->kernel.stop();
    }
}

json GatewayFixture::configuration(int version)
{
    json resume = route("/resume/", "streaming", 2);
    resume["can_resume"] = true;
    json open = route("/open/", "idempotent", 2);
    open["anonymous"] = true;
    return {{"version", version},
            {"routes",
             json::array({route("/once/", "non_idempotent", 1), route("/again/", "idempotent", 2),
                          route("/stream/", "streaming", 1), resume, open})},
            {"services", json::array({{{"name", "pool"},
                                       {"health_path", "/health"},
                                       {"max_conns", 100},
                                       {"engine", {{"slots", 8}, {"moves", true}}}}})},
            {"limits",
             {{"max_header_bytes", 8192},
              {"max_body_bytes", 65536},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 60000}}},
            {"tenants", json::array({{{"name", "one"},
                                      {"api_keys", json::array({"key-one", "key-two"})},
                                      {"priority", 3}}})}};
}

json GatewayFixture::entryOf(const standin::RunnerStandin &runner, const std::string &service,
                             const std::string &state)
{
    return {{"service", service}, {"address", kernel::text(runner.where())},
            {"zone", "hall-a"},   {"version", "v1"},
            {"slots", 8},         {"state", state},
            {"cold_left_ms", 0},  {"call_seq", 1}};
}

void GatewayFixture::list(const standin::RunnerStandin &runner, const std::string &service,
                          const std::string &state)
{
    store_->put("servers", runner.name(), entryOf(runner, service, state));
}

std::string GatewayFixture::settingsText() const
{
    std::ostringstream text;
    text << "[box]\nname = box-1\nhall = hall-a\nregion = region-a\nseed = 1\n[listen]\ncaller = "
         << kernel::text(caller_) << "\nready = " << kernel::text(ready_)
         << "\ncontrol = " << kernel::text(control_) << "\npeer = " << kernel::text(peer_)
         << "\n[platform]\naddress = " << kernel::text(storeAt_)
         << "\n[peers]\nkeys = " << std::string(64, 'a')
         << "\n[gateway]\nretry-slack = " << retrySlack << "\nseeds = 127.0.0.1:1\n"
         << moreSettings;
    return text.str();
}

void GatewayFixture::start()
{
    context_ =
            std::make_unique<services::Context>(io_, kernel::settingsFrom(settingsText()).value());
    context_->incarnation = 1;
    context_->random.seed(1);
    context_->now = [this] {
        return std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now())
               + offset_;
    };
    gateway::addGatewayServices(*context_, adapter, [this] { stopped_ = true; });
    context_->kernel.start();
}

void GatewayFixture::startReady()
{
    putConfiguration(configuration(1));
    for (const auto &runner : runners_) {
        list(*runner, "pool");
    }
    start();
    until([this] { return ready(); }, "readiness");
}

void GatewayFixture::until(const std::function<bool()> &condition, const std::string &what)
{
    const auto deadline = std::chrono::steady_clock::now() + 30s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("this didn't happen: " + what);
        }
        io_.run_one_for(10ms);
        io_.restart();
    }
}

http::Request GatewayFixture::request(const std::string &method, const std::string &target,
                                      const http::Fields &more)
{
    http::Fields fields = more;
    if (fields.get("X-Attempt-Id").empty()) {
        fields.add("X-Attempt-Id", "a1");
    }
    if (fields.get("X-Deadline-Ms").empty()) {
        fields.add("X-Deadline-Ms", "15000");
    }
    if (fields.get("X-Api-Key").empty()) {
        fields.add("X-Api-Key", "key-one");
    }
    fields.add("Host", "calls.example");
    return {method, target, fields, method == "GET" ? "" : "the body"};
}

http::Request GatewayFixture::promptRequest(const std::string &target, const http::Fields &more)
{
    http::Fields fields = more;
    fields.add("X-Model", "m");
    fields.add("X-Token-Count", "300,20");
    fields.add("X-Prompt-Prefix", "aa:100,bb:100,cc:100");
    return request("POST", target, fields);
}

asio::awaitable<void> GatewayFixture::exchange(std::shared_ptr<PendingCall> pending,
                                               http::Request request)
{
    if (!pending->connection) {
        auto connected = co_await http::KeptConnection::connect(io_, caller_, 10s);
        if (!connected) {
            pending->done = true;
            co_return;
        }
        pending->connection = *connected;
    }
    co_await readAnswer(pending->connection, std::move(request), pending->answer);
    pending->done = true;
}

asio::awaitable<void> GatewayFixture::readAnswer(http::KeptConnection::Ptr connection,
                                                 http::Request request, GatewayAnswer &answer)
{
    connection->send(std::move(request));
    auto head = co_await connection->readHead();
    if (!head) {
        co_return;
    }
    answer.answered = true;
    answer.status = head->status;
    answer.fields = head->fields;
    while (true) {
        auto part = co_await connection->readPart();
        if (!part || part->end) {
            answer.whole = part.has_value();
            answer.marked = part && isMarked(*part->end);
            co_return;
        }
        answer.body += part->bytes;
    }
}

std::shared_ptr<PendingCall> GatewayFixture::begin(http::Request request,
                                                   http::KeptConnection::Ptr kept)
{
    auto pending = std::make_shared<PendingCall>();
    pending->connection = std::move(kept);
    asio::co_spawn(io_, exchange(pending, std::move(request)), asio::detached);
    return pending;
}

GatewayAnswer GatewayFixture::finish(const std::shared_ptr<PendingCall> &pending)
{
    until([&] { return pending->done; }, "the answer");
    return pending->answer;
}

GatewayAnswer GatewayFixture::call(http::Request request)
{
    return finish(begin(std::move(request)));
}

bool GatewayFixture::ready()
{
    auto pending = std::make_shared<PendingCall>();
    const auto ask = [](GatewayFixture &fixture,
                        std::shared_ptr<PendingCall> asked) -> asio::awaitable<void> {
        auto connected = co_await http::KeptConnection::connect(fixture.io_, fixture.ready_, 10s);
        if (connected) {
            http::Request question("GET", "/v1/readiness", http::Fields().with("Host", "box"));
            (*connected)->send(std::move(question));
            auto head = co_await (*connected)->readHead();
            asked->answer.status = head ? head->status : 0;
        }
        asked->done = true;
    };
    asio::co_spawn(io_, ask(*this, pending), asio::detached);
    return finish(pending).status == 200;
}

standin::RunnerStandin &GatewayFixture::used()
{
    return runners_.front()->records().empty() ? *runners_.back() : *runners_.front();
}

std::size_t GatewayFixture::runs() const
{
    std::size_t sum = 0;
    for (const auto &runner : runners_) {
        sum += runner->runs();
    }
    return sum;
}

void GatewayFixture::nextMeets(standin::RunnerFault fault)
{
    // Both are told, and the other's is taken back by the test that needs it.
    for (const auto &runner : runners_) {
        runner->faults.push_back(fault);
    }
}

} // namespace limereel::support
