#include "standin/ServiceStandin.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>

namespace limereel::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

bool take(int &fault)
{
    if (fault <= 0) {
        return false;
    }
    --fault;
    return true;
}

http::Answer plain(int status, const json &body)
{
    return http::Answer{status, http::Fields().with("Content-Type", "application/json"),
                        body.dump()};
}

} // namespace

ServiceStandin::ServiceStandin(asio::io_context &io, std::string name, std::uint32_t incarnation)
    : name_(std::move(name))
    , incarnation_(incarnation)
    , server_(io, {}, [this](http::Request request, http::Reply &reply) {
        return handle(std::move(request), reply);
    })
{
}

asio::awaitable<void> ServiceStandin::handle(http::Request request, http::Reply &reply)
{
    http::Answer answer(0);
    if (request.path() == "/v1/status") {
        answer = plain(200, {{"incarnation", incarnation_}, {"leaving", faults.leaving}});
    } else if (request.path() == "/control") {
        answer = control(request);
    } else if (faults.leaving || take(faults.refuse)) {
        answer.status = 503;
        answer.fields.add("X-Not-Started", faults.leaving ? "leaving" : "full");
        if (!faults.restAsked.empty()) {
            answer.fields.add("Retry-After", faults.restAsked);
        }
    }
    if (answer.status != 0) {
        co_await reply.send(std::move(answer));
        co_return;
    }
    if (take(faults.dropBeforeRun)) {
        co_return;
    }
    co_await run(std::move(request), reply);
}

asio::awaitable<void> ServiceStandin::run(http::Request request, http::Reply &reply)
{
    ++runs_[request.body.empty() ? std::string(request.path()) : request.body];
    if (take(faults.dropAfterRun)) {
        co_return;
    }
    const std::string id(request.fields.get("X-Request-Id"));
    if (take(faults.cutAnswer)) {
        http::Fields head = http::Fields().with("X-Request-Id", id);
        co_await reply.begin(200, std::move(head));
        co_await reply.write("half of an ans");
        co_return;
    }
    http::Answer answer =
            plain(take(faults.failAnswer) ? 500 : 200, {{"service", name_}, {"did", request.body}});
    answer.endMarked = !take(faults.unmarkedAnswer);
    answer.fields.add("X-Request-Id", take(faults.foreignAnswer) ? "someone-else" : id);
    co_await reply.send(std::move(answer));
}

http::Answer ServiceStandin::control(const http::Request &request)
{
    if (request.method == "GET") {
        return plain(200, {{"runs", runs_}});
    }
    const json body = json::parse(request.body, nullptr, false);
    faults.refuse = body.value("refuse", faults.refuse);
    faults.dropBeforeRun = body.value("drop-before-run", faults.dropBeforeRun);
    faults.dropAfterRun = body.value("drop-after-run", faults.dropAfterRun);
    faults.leaving = body.value("leaving", faults.leaving);
    return plain(200, "done");
}

} // namespace limereel::standin
