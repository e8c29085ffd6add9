// Kills, pauses and stops real processes, which tests of a fleet within one process can't do.

#include "support/Blocking.h"
#include "support/Fleet.h"
#include "support/Processes.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

using namespace limereel;
namespace asio = boost::asio;
using nlohmann::json;
using support::ProcessFleet;

namespace {

const std::map<std::string, std::string> ShortTimings = {
        {"peers",
         "heartbeat-period = 100ms\nsettle = 500ms\npermit-lease = 3s\nask-timeout = 100ms\n"},
        {"platform", "directory-period = 200ms\nwatch-timeout = 2s\n"},
        {"backends", "probe-period = 200ms\n"},
        {"stop", "balancer-lag = 200ms\ndeadline = 60s\n"}};

struct ProcessFixture
{
    ProcessFixture()
        : folder(
                std::filesystem::temp_directory_path()
                / ("limereel-test-" + std::to_string(::getpid()) + "-" + std::to_string(++count())))
        , fleet(folder,
                {{.name = "hall-a", .region = "here", .routers = 3, .engines = 4, .runners = 1}},
                ShortTimings)
    {
        fleet.publish();
        for (std::size_t index = 0; index < fleet.routers().size(); ++index) {
            fleet.startRouter(index);
        }
        for (std::size_t index = 0; index < fleet.routers().size(); ++index) {
            support::waitFor([&] { return ready(index); },
                             "router " + std::to_string(index) + " is ready");
        }
    }

    ~ProcessFixture() { std::filesystem::remove_all(folder); }

    static int &count()
    {
        static int number = 0;
        return number;
    }

    json status(std::size_t router)
    {
        const auto answer = support::callBlocking(
                fleet.routers()[router].control,
                {"GET", "/v1/status",
                 http::Fields().with("Authorization", "Bearer " + support::OperatorKeyText)});
        return answer ? json::parse(answer->body, nullptr, false) : json();
    }

    bool ready(std::size_t router)
    {
        const json now = status(router);
        return now.is_object() && now["ready"] == true && now["boxes"].size() == 3
               && std::ranges::all_of(now["backends"],
                                      [](const json &backend) { return backend["open"] == true; });
    }

    http::Request chat(const std::string &id, int tokens) const
    {
        const json body = {{"model", "small"},
                           {"stream", true},
                           {"max_tokens", tokens},
                           {"messages", json::array({{{"role", "user"}, {"content", id}}})}};
        return {"POST", "/v1/chat/completions",
                http::Fields()
                        .with("Authorization", "Bearer key-of-the-hauler-a")
                        .with("X-Chat-Id", id),
                body.dump()};
    }

    /** Whether \a router answers a chat completely. */
    bool answersCompletely(std::size_t router, const std::string &id, int tokens = 5)
    {
        const auto answer = support::callBlocking(fleet.routers()[router].caller, chat(id, tokens));
        return answer && answer->status == 200
               && answer->body.find("[" + id + "]") != std::string::npos
               && answer->body.find("data: [DONE]") != std::string::npos;
    }

    /** Runs the limereel binary. \return its exit code and its output. */
    std::pair<int, std::string> command(const std::string &words) const
    {
        const std::string line = "LIMEREEL_KEY=" + support::OperatorKeyText + " " + LIMEREEL_BINARY
                                 + " " + words + " 2>&1";
        std::FILE *const pipe = ::popen(line.c_str(), "r");
        std::string output;
        std::array<char, 4096> part{};
        while (std::fgets(part.data(), part.size(), pipe) != nullptr) {
            output += part.data();
        }
        const int result = ::pclose(pipe);
        return {WEXITSTATUS(result), output};
    }

    std::string box(std::size_t router)
    {
        return " --box " + kernel::text(fleet.routers()[router].control);
    }

    std::filesystem::path folder;
    ProcessFleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessTest, ProcessFixture)

BOOST_AUTO_TEST_CASE(router_killed_othersServeEveryChat)
{
    BOOST_TEST(answersCompletely(0, "before"));
    fleet.routers()[2].process.signal(SIGKILL);
    for (int turn = 0; turn < 40; ++turn) {
        BOOST_TEST(
                answersCompletely(static_cast<std::size_t>(turn % 2), "c" + std::to_string(turn)));
    }
}

BOOST_AUTO_TEST_CASE(router_pausedAndResumed_othersServeAndItRejoins)
{
    fleet.routers()[1].process.signal(SIGSTOP);
    for (int turn = 0; turn < 30; ++turn) {
        BOOST_TEST(answersCompletely(turn % 2 == 0 ? 0 : 2, "c" + std::to_string(turn)));
    }
    fleet.routers()[1].process.signal(SIGCONT);
    support::waitFor([&] { return ready(1) && answersCompletely(1, "thawed"); },
                     "the resumed router serves");
}

// A signal takes effect only once the kernel has terminated the process. Until the process has been
// reaped, its listening sockets may still accept a connection and a request that nothing reads.
BOOST_AUTO_TEST_CASE(enginesAllTerminated_requestsAreRefusedAsNotRun)
{
    fleet.enginesProcess(0).signal(SIGKILL);
    fleet.enginesProcess(0).wait();
    const auto answer = support::callBlocking(fleet.routers()[0].caller, chat("c", 5));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->status == 503);
    BOOST_TEST(json::parse(answer->body)["error"]["ran"] == "not-run");
    BOOST_TEST(!answer->fields.get("Retry-After").empty());
}

// Sends a request without waiting for the engines to terminate. If an engine's socket accepted the
// request, the router can't know whether it ran, and must report exactly that to the caller.
BOOST_AUTO_TEST_CASE(enginesBeingKilled_requestIsRefusedAsNotRunOrUnknown)
{
    fleet.enginesProcess(0).signal(SIGKILL);
    const auto answer = support::callBlocking(fleet.routers()[0].caller, chat("c", 5));
    BOOST_REQUIRE(answer.has_value());
    const json ran = json::parse(answer->body)["error"]["ran"];
    BOOST_TEST((ran == "not-run" || ran == "unknown"), ran);
    BOOST_TEST(answer->status == (ran == "not-run" ? 503 : 504));
    BOOST_TEST(!answer->fields.get("Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(router_sigterm_finishesItsStreamAndExitsWithZero)
{
    asio::io_context io;
    std::string body;
    const auto work = [&]() -> asio::awaitable<void> {
        http::Request request = chat("long", 400);
        auto stream =
                co_await http::Stream::open(io, fleet.routers()[0].caller, std::move(request), {});
        BOOST_REQUIRE(stream.has_value());
        auto part = co_await stream->read();
        fleet.routers()[0].process.signal(SIGTERM);
        while (part && !part->end) {
            body += part->bytes;
            part = co_await stream->read();
        }
    };
    asio::co_spawn(io, work, asio::detached);
    io.run();
    BOOST_TEST(body.find("data: [DONE]") != std::string::npos);
    BOOST_TEST(fleet.routers()[0].process.wait() == 0);
}

BOOST_AUTO_TEST_CASE(platform_killed_fleetServesChatsAndRefusesUpdates)
{
    fleet.platformProcess().signal(SIGKILL);
    BOOST_TEST(answersCompletely(0, "c1"));
    BOOST_TEST(answersCompletely(1, "c2"));
    const auto [code, output] = command("config set /accra priority 7" + box(0));
    BOOST_TEST(code == 5);
}

BOOST_AUTO_TEST_CASE(commands_againstTheFleet_succeedOrReportTheError)
{
    struct Row
    {
        std::string words;
        int code;
        std::string expected;
    };
    const std::string at = box(0);
    const Row rows[] = {
            {"config set /accra priority 7" + at, 0, "accepted as revision 2"},
            {"config get /accra/hauler-a priority" + at, 0, "7    (from /accra)"},
            {"config set /accra priority 99" + at, 2, "allowed is 0 to 9"},
            {"config set /accra priority 6 --base 1" + at, 4,
             "theirs: /accra priority = 7, by olga"},
            {"config unset /accra priority" + at, 0, "accepted as revision 3"},
            {"config show /accra" + at, 0, "max-in-flight = 1000    (from /)"},
            {"config show /nowhere" + at, 2, "there is no node"},
            {"config history" + at, 0, "revision 3"},
            {"config status" + at, 0, "hall-a-box-0"},
            {"config get /accra colour" + at, 2, "unknown key"},
            {"organisation add trento" + at, 0, "accepted"},
            {"organisation list" + at, 0, "/trento"},
            {"organisation remove trento" + at, 0, "accepted"},
            {"pool list --json" + at, 0, "[\"pool:small\"]"},
            {"status" + at, 0, "\"hall\": \"hall-a\""},
            {"config get /accra priority --box 127.0.0.1:1", 5, "doesn't answer"},
            {"config get /accra priority --box nowhere", 1, "allowed is IP:PORT"},
            {"config get /accra priority --key-file /dev/null" + at, 2, "operator's key"},
            {"nonsense", 1, ""},
            {"--version", 0, "limereel 0."},
            {"config --help", 0, "history"},
            {"codes", 0, "engines-full"},
            {"check-settings " + fleet.routers()[0].settingsFile, 0, "good, box hall-a-box-0"},
            {"check-settings /nowhere.ini", 2, "can't be read"},
            {"leave" + box(2), 0, "finishes its requests"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.words)
        {
            const auto [code, output] = command(row.words);
            BOOST_TEST(code == row.code);
            BOOST_TEST(output.find(row.expected) != std::string::npos, output);
        }
    }
    BOOST_TEST(fleet.routers()[2].process.wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
