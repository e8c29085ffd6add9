// limereel-demo: three halls with two routers each, engines, services and a platform, as real
// processes. Sends chats that return and prints where each turn ran and why, then reuse, skew and
// control bytes.

#include "kernel/KeyHash.h"
#include "support/Blocking.h"
#include "support/Fleet.h"
#include "support/Processes.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

using namespace limereel;
namespace asio = boost::asio;
using nlohmann::json;
using support::ProcessFleet;

namespace {

constexpr int Chats = 60;
constexpr int Turns = 4;
constexpr int AtOnce = 20;
constexpr kernel::Duration Idle = 10s;

struct TurnResult
{
    int chat = 0;
    int turn = 0;
    std::string router;
    std::string engine;
    std::string route;
    bool right = false;
    double firstTokenMs = 0;
};

http::Request chatRequest(int chat, const std::string &says)
{
    const json body = {{"model", "small"},
                       {"stream", true},
                       {"max_tokens", 40},
                       {"messages", json::array({{{"role", "user"}, {"content", says}}})}};
    return {"POST", "/v1/chat/completions",
            http::Fields()
                    .with("Authorization",
                          "Bearer "
                                  + std::string(chat % 3 == 0 ? "key-of-the-hauler-b"
                                                              : "key-of-the-hauler-a"))
                    .with("X-Chat-Id", "chat-" + std::to_string(chat)),
            body.dump()};
}

std::string textOf(const std::string &body)
{
    support::CallerAnswer answer;
    answer.body = body;
    return answer.text();
}

asio::awaitable<TurnResult> runTurn(asio::io_context &io, ProcessFleet &fleet, int chat, int turn,
                                    std::size_t router)
{
    TurnResult result{.chat = chat, .turn = turn, .router = fleet.routers()[router].name};
    const std::string says = "chat " + std::to_string(chat) + " turn " + std::to_string(turn);
    const auto begun = std::chrono::steady_clock::now();
    http::Request request = chatRequest(chat, says);
    const http::CallTimeouts timeouts{.connect = 5s, .head = 60s, .part = 60s};
    auto stream = co_await http::Stream::open(io, fleet.routers()[router].caller,
                                              std::move(request), timeouts);
    if (!stream) {
        co_return result;
    }
    result.engine = stream->field("X-Engine");
    result.route = stream->field("X-Route");
    std::string body;
    while (true) {
        const auto part = co_await stream->read();
        if (!part || part->end) {
            break;
        }
        if (body.empty()) {
            result.firstTokenMs = std::chrono::duration<double, std::milli>(
                                          std::chrono::steady_clock::now() - begun)
                                          .count();
        }
        body += part->bytes;
    }
    result.right =
            textOf(body).starts_with("[" + says + "]") && body.find("[DONE]") != std::string::npos;
    co_return result;
}

asio::awaitable<void> runChats(asio::io_context &io, ProcessFleet &fleet, int &nextJob,
                               std::vector<TurnResult> &results, std::mt19937_64 &random)
{
    // Chats of one region stay in their hall's balancer; each turn meets any of the hall's routers.
    while (nextJob < Chats * Turns) {
        const int job = nextJob++;
        const int chat = job % Chats;
        const std::size_t hall = static_cast<std::size_t>(chat) % 3;
        const std::size_t router = hall * 2 + random() % 2;
        results.push_back(co_await runTurn(io, fleet, chat, job / Chats, router));
    }
}

double metric(const ProcessFleet::Router &router, const std::string &name, const std::string &label)
{
    const auto answer = support::callBlocking(router.control, {"GET", "/metrics"});
    std::istringstream lines(answer ? answer->body : "");
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("limereel_" + name + "{") && line.find(label) != std::string::npos) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

double controlBytes(ProcessFleet &fleet)
{
    double sum = 0;
    for (const auto &router : fleet.routers()) {
        sum += metric(router, "peer_bytes", "direction=\"out\"");
    }
    return sum;
}

void printTurns(const std::vector<TurnResult> &results)
{
    std::cout << "chat  turn  router            engine             why           first token\n";
    for (const TurnResult &result : results) {
        if (result.chat < 6) {
            std::cout << std::setw(4) << result.chat << "  " << std::setw(4) << result.turn << "  "
                      << std::left << std::setw(16) << result.router << "  " << std::setw(17)
                      << result.engine << "  " << std::setw(12) << result.route << std::right
                      << std::fixed << std::setprecision(1) << std::setw(8) << result.firstTokenMs
                      << " ms" << (result.right ? "" : "  NOT WHOLE") << '\n';
        }
    }
    std::cout << "(the first six of " << Chats << " chats)\n\n";
}

int printSums(ProcessFleet &fleet, const std::vector<TurnResult> &results, double idleBytes)
{
    double hits = 0;
    double greatest = 0;
    double sum = 0;
    for (const auto &[name, endpoint] : fleet.engines()) {
        const auto answer = support::callBlocking(endpoint, {"GET", "/control"});
        const json counts = answer ? json::parse(answer->body) : json::object();
        hits += counts.value("hits", 0.0);
        greatest = std::max(greatest, counts.value("greatest", 0.0));
        sum += counts.value("greatest", 0.0);
    }
    const auto whole = std::ranges::count(results, true, &TurnResult::right);
    std::cout << "answers whole:    " << whole << " of " << results.size() << '\n'
              << "reuse:            " << hits << " of " << results.size() - Chats
              << " returning turns found their prefix\n"
              << "skew:             greatest load of one engine " << greatest
              << ", mean of the engines' greatest " << std::setprecision(2)
              << sum / static_cast<double>(fleet.engines().size()) << '\n'
              << "control traffic:  " << std::setprecision(0)
              << idleBytes / 6 / kernel::seconds(Idle)
              << " bytes a second sent by a router while idle, headers included\n";
    return whole == static_cast<std::ptrdiff_t>(results.size()) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    const std::filesystem::path folder =
            argc > 1 ? argv[1] : std::filesystem::temp_directory_path() / "limereel-demo";
    ProcessFleet fleet(folder,
                       {{"accra-a", "gh-south"}, {"accra-b", "gh-south"}, {"tema-c", "gh-south"}});
    fleet.publish();
    for (std::size_t index = 0; index < fleet.routers().size(); ++index) {
        fleet.startRouter(index);
    }
    std::cout << "Waiting for 6 routers in 3 halls ...\n";
    for (const auto &router : fleet.routers()) {
        support::waitFor(
                [&] {
                    const auto answer = support::callBlocking(
                            router.control,
                            {"GET", "/v1/status",
                             http::Fields().with("Authorization",
                                                 "Bearer " + support::OperatorKeyText)});
                    const json status = answer ? json::parse(answer->body, nullptr, false) : json();
                    const bool ready = status.is_object() && status.value("ready", false);
                    return ready
                           && std::ranges::all_of(status["backends"], [](const json &backend) {
                                  return backend["open"] == true;
                              });
                },
                router.name + " is ready");
    }
    const double bytesBefore = controlBytes(fleet);
    const auto begun = std::chrono::steady_clock::now();
    asio::io_context io(1);
    std::mt19937_64 random(7);
    std::vector<TurnResult> results;
    int nextJob = 0;
    for (int worker = 0; worker < AtOnce; ++worker) {
        asio::co_spawn(io, runChats(io, fleet, nextJob, results, random), asio::detached);
    }
    io.run();
    std::ranges::sort(results, {},
                      [](const TurnResult &result) { return std::pair(result.chat, result.turn); });
    const double seconds =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    const double busyBytes = controlBytes(fleet) - bytesBefore;
    printTurns(results);
    std::cout << "control traffic:  " << busyBytes / static_cast<double>(results.size())
              << " bytes a turn in the " << std::setprecision(2) << seconds
              << " s of the turns, sent by all routers, heartbeats included\n";
    const double before = controlBytes(fleet);
    std::cout << "Measuring idle control traffic for 10 s ...\n";
    asio::steady_timer pause(io, Idle);
    pause.wait();
    return printSums(fleet, results, controlBytes(fleet) - before);
}
