// A backend server that says in an answer that it leaves gets nothing new from this box.
// Guards against requests that go to a server after it has said so itself, as the list doesn't say
// it yet, or never.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;
using standin::RunnerFault;

namespace {

/** Two servers that are listed as working all along. */
class LeavingFixture : public GatewayFixture
{
public:
    LeavingFixture()
    {
        // The clock runs ahead of the store's confirmations.
        moreSettings = "revoke-within = 600s\n";
    }

    GatewayAnswer send(const std::string &target)
    {
        ++sent_;
        const auto id = http::Fields().with("X-Attempt-Id", "a" + std::to_string(sent_));
        return call(target.starts_with("/resume/") ? promptRequest(target, id)
                                                   : request("POST", target, id));
    }

    std::size_t arrivals(std::size_t index) { return runner(index).records().size(); }

    /** A first request goes to one of the servers, which answers as \a fault says. */
    std::size_t letOneSaySo(const std::string &target, RunnerFault fault)
    {
        for (std::size_t index = 0; index < 2; ++index) {
            runner(index).saysLeaving = true;
            runner(index).faults.push_back(fault);
        }
        const auto pending = begin(target.starts_with("/resume/") ? promptRequest(target)
                                                                  : request("POST", target));
        until([this] { return arrivals(0) + arrivals(1) > 0; }, "arrival");
        const std::size_t first = arrivals(0) > 0 ? 0 : 1;
        runner(1 - first).saysLeaving = false;
        runner(1 - first).faults.clear();
        finish(pending);
        return first;
    }

    /** Neither a newer entry of the list nor time takes the word back. */
    void listAnew(std::size_t index)
    {
        auto entry = entryOf(runner(index), "pool");
        entry["call_seq"] = 7;
        store().put("servers", runner(index).name(), entry);
    }

    void sendSome(const std::string &target)
    {
        for (int turn = 0; turn < 20; ++turn) {
            BOOST_TEST(send(target).status == 200);
        }
    }

private:
    int sent_ = 100;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingWordTest)

BOOST_DATA_TEST_CASE_F(LeavingFixture, server_saysInAnAnswerThatItLeaves_getsNothingNew,
                       boost::unit_test::data::make({"/again/x", "/again/x", "/again/x", "/once/x",
                                                     "/resume/x"})
                               ^ boost::unit_test::data::make({0, 1, 2, 0, 0}),
                       target, how)
{
    constexpr std::array Answers = {RunnerFault::None, RunnerFault::Fail, RunnerFault::Reject};
    startReady();
    const std::size_t leaving = letOneSaySo(target, Answers.at(static_cast<std::size_t>(how)));
    const std::size_t before = arrivals(leaving);
    sendSome(target);
    listAnew(leaving);
    stepForward(2s);
    sendSome(target);
    BOOST_TEST(arrivals(leaving) == before);
}

BOOST_FIXTURE_TEST_CASE(server_isBackUnderAnotherId_takesWork, LeavingFixture)
{
    startReady();
    const std::size_t leaving = letOneSaySo("/again/x", RunnerFault::None);
    const kernel::Endpoint where = runner(leaving).where();
    store().remove("servers", runner(leaving).name());
    runners_.at(leaving).reset();
    runners_.at(leaving) = std::make_unique<standin::RunnerStandin>(io_, "i-three", where);
    list(runner(leaving), "pool");
    auto &servers = context().kernel.find<gateway::FleetView>("world").servers();
    until([&] { return servers.find("i-three").has_value(); }, "the new entry");
    for (int turn = 0; turn < 200 && arrivals(leaving) == 0; ++turn) {
        send("/again/x");
    }
    BOOST_TEST(arrivals(leaving) > 0U);
}

BOOST_FIXTURE_TEST_CASE(anotherServerAtTheAddress_saysThatItLeaves_doesNotBindTheListedOne,
                        LeavingFixture)
{
    startReady();
    const std::size_t first = letOneSaySo("/again/x", RunnerFault::Misdirect);
    runner(first).saysLeaving = false;
    for (int turn = 0; turn < 2000 && arrivals(first) == 1; ++turn) {
        stepForward(10ms);
        send("/again/x");
    }
    BOOST_TEST(arrivals(first) > 1U);
}

BOOST_FIXTURE_TEST_CASE(allServers_sayThatTheyLeave_requestIsRefusedAndNotRun, LeavingFixture)
{
    startReady();
    runner(0).saysLeaving = true;
    runner(1).saysLeaving = true;
    BOOST_TEST(send("/again/x").status == 200);
    BOOST_TEST(send("/again/x").status == 200);
    const auto answer = send("/again/x");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
    BOOST_TEST(runs() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
