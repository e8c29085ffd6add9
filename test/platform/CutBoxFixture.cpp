#include "platform/CutBoxFixture.h"

#include "support/Ports.h"

#include <set>

namespace limereel::support {

namespace asio = boost::asio;

namespace {

constexpr int ObjectiveMs = 200;

} // namespace

CutBoxFixture::FullListener::FullListener(asio::io_context &io, const kernel::Endpoint &where)
    : acceptor(io)
{
    const asio::ip::tcp::endpoint at(asio::ip::make_address(where.address), where.port);
    acceptor.open(at.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(0);
    fillers.emplace_back(io);
    fillers.back().connect(at);
}

CutBoxFixture::CutBoxFixture()
{
    moreSettings = "retry-slack = 1000\n";
    for (const char *name : {"i-left", "i-middle", "i-right"}) {
        runners_.push_back(std::make_unique<standin::RunnerStandin>(io_, name, freeEndpoint()));
    }
}

nlohmann::json CutBoxFixture::configuration() const
{
    if (!firstConfiguration.is_null()) {
        return firstConfiguration;
    }
    nlohmann::json configuration = GatewayFixture::configuration(1);
    for (nlohmann::json &route : configuration["routes"]) {
        route["goal_ms"] = ObjectiveMs;
        for (const std::string &service : std::set(services.begin(), services.end())) {
            route["split"].push_back({{"service", service}, {"weight", 1}});
        }
    }
    nlohmann::json &listed = configuration["services"];
    for (const std::string &service : std::set(services.begin(), services.end())) {
        if (service != "pool") {
            listed.push_back(listed.at(0));
            listed.back()["name"] = service;
        }
    }
    return configuration;
}

void CutBoxFixture::fill(standin::StoreStandin &store, const std::vector<kernel::Endpoint> &servers)
{
    store.put("config", "main", configuration());
    for (std::size_t index = 0; index < runners_.size(); ++index) {
        nlohmann::json entry = GatewayFixture::entryOf(*runners_[index], services[index]);
        entry["address"] = kernel::text(servers[index]);
        entry["version"] = versions[index];
        store.put("servers", runners_[index]->name(), entry);
    }
}

void CutBoxFixture::open(Way &way)
{
    way.proxies.clear();
    for (std::size_t index = 0; index < runners_.size(); ++index) {
        way.proxies.push_back(std::make_unique<soak::LoopbackProxy>(io_, way.addresses[index],
                                                                    runners_[index]->where()));
    }
}

void CutBoxFixture::startBoxes(std::size_t cuttable, std::size_t others)
{
    std::vector<kernel::Endpoint> straight;
    for (const auto &runner : runners_) {
        straight.push_back(runner->where());
    }
    fill(store(), straight);
    for (std::size_t box = 0; box < cuttable; ++box) {
        Way way;
        for (std::size_t index = 0; index < runners_.size(); ++index) {
            way.addresses.push_back(freeEndpoint());
        }
        const kernel::Endpoint storeAt = freeEndpoint();
        way.store = std::make_unique<standin::StoreStandin>(io_, storeAt);
        fill(*way.store, way.addresses);
        open(way);
        ways_.push_back(std::move(way));
        startBoxAt(storeAt);
    }
    for (std::size_t box = 0; box < others; ++box) {
        startBox(Store::Reached);
    }
    const std::size_t all = cuttable + others;
    boxCount_ = all;
    until(
            [&] {
                bool ready = true;
                for (std::size_t box = 0; box < all; ++box) {
                    ready = ready && world(box).ready() && boxesKnownTo(box) == all;
                }
                return ready;
            },
            "all boxes are ready and know each other");
}

void CutBoxFixture::cut(std::size_t box, Cut how)
{
    Way &way = ways_.at(box);
    way.full.clear();
    if (how == Cut::Refused || how == Cut::Hanging) {
        way.proxies.clear();
    } else if (way.proxies.empty()) {
        open(way);
    }
    for (const auto &proxy : way.proxies) {
        proxy->setHarm(how == Cut::Reset ? soak::Harm::Reset : soak::Harm::None);
    }
    if (how == Cut::Hanging) {
        for (const kernel::Endpoint &address : way.addresses) {
            way.full.push_back(std::make_unique<FullListener>(io_, address));
        }
    }
}

void CutBoxFixture::unlist(std::size_t server)
{
    const std::string &name = runners_.at(server)->name();
    store().remove("servers", name);
    for (const Way &way : ways_) {
        way.store->remove("servers", name);
    }
    until(
            [&] {
                bool known = true;
                for (std::size_t box = 0; box < boxCount_; ++box) {
                    known = known && !world(box).servers().find(name);
                }
                return known;
            },
            "all boxes know that a server is gone");
}

http::Request CutBoxFixture::fresh(const std::string &prefix)
{
    const std::string number = std::to_string(++requests_);
    const http::Fields id = http::Fields().with("X-Attempt-Id", "a" + number);
    const bool stream = prefix == "/stream/" || prefix == "/resume/";
    return stream ? GatewayFixture::promptRequest(prefix + number, id)
                  : GatewayFixture::request("POST", prefix + number, id);
}

void CutBoxFixture::letNotice(std::size_t box)
{
    const auto asked = begin(box, fresh("/again/"));
    until([&] { return asked->done; }, "the box's first answer after the cut");
    until([&] { return world(box).isLost("pool"); }, "the box knows that it is cut off");
}

asio::awaitable<void> CutBoxFixture::exchange(kernel::Endpoint where, http::Request request,
                                              std::shared_ptr<PendingCall> pending)
{
    auto connected = co_await http::KeptConnection::connect(io_, std::move(where), 10s);
    if (connected) {
        pending->connection = *connected;
        co_await GatewayFixture::readAnswer(*connected, std::move(request), pending->answer);
    }
    pending->done = true;
}

std::shared_ptr<PendingCall> CutBoxFixture::begin(std::size_t box, http::Request request)
{
    auto pending = std::make_shared<PendingCall>();
    asio::co_spawn(io_, exchange(callerAt(box), std::move(request), pending), asio::detached);
    return pending;
}

GatewayAnswer CutBoxFixture::call(std::size_t box, http::Request request)
{
    const auto pending = begin(box, std::move(request));
    until([&] { return pending->done; }, "the answer");
    return pending->answer;
}

std::size_t CutBoxFixture::runs() const
{
    std::size_t sum = 0;
    for (const auto &runner : runners_) {
        sum += runner->runs();
    }
    return sum;
}

} // namespace limereel::support
