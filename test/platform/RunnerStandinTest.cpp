// The limits of the stand-in itself: a soak of short servers means nothing if it runs more than its
// slots, or rejects what it still has room for.

#include "platform/RunnerStandin.h"
#include "http/KeptConnection.h"
#include "support/Ports.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <vector>

using namespace limereel;
namespace asio = boost::asio;

namespace {

constexpr auto LongestWait = 10s;

/** A runner and callers on one event loop. */
class RunnerFixture
{
public:
    RunnerFixture()
        : runner(io, "i-1", support::freeEndpoint())
    {
        runner.slots = 1;
        runner.queue = 1;
        runner.work = 20ms;
    }

    /** Sends a request on a connection of its own; its status comes into statuses, -1: no answer.
     */
    void call() { asio::co_spawn(io, exchange(), asio::detached); }

    void until(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + LongestWait;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            io.run_for(1ms);
            io.restart();
        }
        BOOST_TEST(condition());
    }

    asio::io_context io{1};
    standin::RunnerStandin runner;
    std::vector<int> statuses; ///< In the order of the answers.
    std::vector<std::string> notRun;

private:
    asio::awaitable<void> exchange()
    {
        auto connected = co_await http::KeptConnection::connect(io, runner.where(), 5s);
        if (!connected) {
            statuses.push_back(-1);
            co_return;
        }
        const http::KeptConnection::Ptr connection = *connected;
        http::Fields fields;
        fields.add("Host", "runner");
        fields.add("X-Attempt-Id", "a1");
        fields.add("X-Expect-Instance", runner.name());
        http::Request request("GET", "/x", fields);
        connection->send(std::move(request));
        auto head = co_await connection->readHead();
        statuses.push_back(head ? head->status : -1);
        if (head) {
            notRun.emplace_back(head->fields.get("X-Not-Executed"));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerStandinTest, RunnerFixture)

BOOST_AUTO_TEST_CASE(slots_moreThanSlotsAndQueue_restIsRejectedAsNotRun)
{
    for (int number = 0; number < 4; ++number) {
        call();
    }
    until([this] { return statuses.size() == 4; });
    BOOST_TEST(statuses == std::vector<int>({503, 503, 200, 200}),
               boost::test_tools::per_element());
    BOOST_TEST(notRun.front() == "1");
    BOOST_TEST(runner.rejections() == 2U);
    BOOST_TEST(runner.mostRunning() == 1U);
    BOOST_TEST(runner.runs() == 2U);
}

BOOST_AUTO_TEST_CASE(slots_zero_nothingIsRejected)
{
    runner.slots = 0;
    for (int number = 0; number < 4; ++number) {
        call();
    }
    until([this] { return statuses.size() == 4; });
    BOOST_TEST(statuses == std::vector<int>(4, 200), boost::test_tools::per_element());
    BOOST_TEST(runner.rejections() == 0U);
}

BOOST_AUTO_TEST_CASE(slots_raisedWhileOneWaits_bothRunOnceTheFirstEnds)
{
    runner.queue = 3;
    for (int number = 0; number < 4; ++number) {
        call();
    }
    until([this] { return runner.records().size() == 4; });
    runner.slots = 3;
    until([this] { return statuses.size() == 4; });
    BOOST_TEST(runner.mostRunning() == 3U);
    BOOST_TEST(runner.runs() == 4U);
}

BOOST_AUTO_TEST_CASE(crash_oneRunsAndOneWaits_neitherIsAnswered)
{
    runner.work = 200ms;
    call();
    call();
    until([this] { return runner.records().size() == 2; });
    runner.crash();
    until([this] { return statuses.size() == 2; });
    BOOST_TEST(statuses == std::vector<int>(2, -1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
