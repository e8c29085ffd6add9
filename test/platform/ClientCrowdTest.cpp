// Crowds of clients that keep no limits, and answers without end, against the real process: it
// lives, what it holds stays under a bound, and an ordinary request is answered beside the crowd
// and after it.

#include "support/ClientCrowd.h"
#include "platform/EndlessServer.h"
#include "platform/GatewayFixture.h"
#include "support/Processes.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

using namespace limereel;
using namespace limereel::support;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr std::size_t Clients = 200;
constexpr std::size_t ManyClients = 1200;
constexpr std::size_t Callers = 40;
constexpr std::size_t HeadBytes = 8 * KiB;
constexpr std::size_t BodyBytes = MiB;
// Half of the memory of the box in these tests.
constexpr std::size_t MostHeldBytes = 96 * MiB;
constexpr std::size_t MoreDescriptors = 64; // Than clients.
constexpr std::size_t JustShort = BodyBytes - 8 * KiB;
constexpr std::size_t Endless = 4 * MiB;

const std::string Head = "POST /again/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: crowd\r\n"
                         "X-Api-Key: key-one\r\nX-Deadline-Ms: 15000\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

const std::string AnswerHead =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: i-flood.1\r\n";

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'y') << "\r\n";
    return text.str();
}

std::string withLength(std::size_t bytes)
{
    return Head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** The real process before the fixture's store and servers. */
class CrowdFixture : public GatewayFixture
{
public:
    CrowdFixture()
        : flood_(io_)
        , folder_(std::filesystem::temp_directory_path()
                  / ("limereel-crowd-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        nlohmann::json spec = configuration(1);
        spec["limits"]["max_header_bytes"] = HeadBytes;
        spec["limits"]["max_body_bytes"] = BodyBytes;
        nlohmann::json flood = spec["routes"][1];
        flood["name"] = "flood";
        flood["path_prefix"] = "/flood/";
        flood["service"] = "flood";
        spec["routes"].push_back(flood);
        spec["services"].push_back({{"name", "flood"}, {"health_path", "/health"}});
        putConfiguration(spec);
        nlohmann::json entry = entryOf(runner(0), "flood");
        entry["address"] = kernel::text(flood_.where());
        store().put("servers", "i-flood", entry);
        list(runner(0), "pool");
        list(runner(1), "pool");
        moreSettings = "descriptors = 4096\nmemory-mb = 192\n";
        const std::filesystem::path settings = folder_ / "box.ini";
        std::ofstream(settings) << settingsText();
        process_ = Process({LIMEREEL_BINARY, "gateway", "--settings", settings.string()},
                           (folder_ / "box.log").string());
        until([this] { return ready(); }, "readiness");
    }

    ~CrowdFixture() { std::filesystem::remove_all(folder_); }

    /** The most memory that the process has held so far. */
    std::size_t mostHeld() const
    {
        std::ifstream status("/proc/" + std::to_string(process_.id()) + "/status");
        std::string word;
        while (status >> word && word != "VmHWM:") {
        }
        std::size_t kibibytes = 0;
        status >> kibibytes;
        return kibibytes * KiB;
    }

    std::size_t descriptors() const
    {
        const std::filesystem::directory_iterator all("/proc/" + std::to_string(process_.id())
                                                      + "/fd");
        return static_cast<std::size_t>(
                std::distance(std::filesystem::begin(all), std::filesystem::end(all)));
    }

    int callWithBody(std::size_t bytes)
    {
        http::Request asked = request("POST", "/again/x");
        asked.body = std::string(bytes, 'z');
        return call(std::move(asked)).status;
    }

    /** Plays a crowd that sends \a bytes, and checks what has to hold. */
    void check(const CrowdBytes &bytes, std::size_t clients = Clients)
    {
        checkTogether(std::vector{bytes}, clients);
    }

    /** The same with crowds of several kinds at once, \a clients in all. */
    void checkTogether(const std::vector<CrowdBytes> &kinds, std::size_t clients = Clients)
    {
        {
            const auto crowds = startCrowds(kinds, clients / kinds.size());
            const auto settled = [](const auto &crowd) { return crowd->settled(); };
            until([&] { return std::ranges::all_of(crowds, settled); },
                  "the end of what the crowd sends");
            BOOST_TEST(process_.running());
            BOOST_TEST(descriptors() <= clients + MoreDescriptors);
            BOOST_TEST(callWithBody(8) == 200);
            BOOST_TEST(callWithBody(BodyBytes) == 200);
        }
        until([this] { return descriptors() <= MoreDescriptors; }, "closed connections");
        BOOST_TEST(callWithBody(BodyBytes) == 200);
        BOOST_TEST(process_.running());
        checkHeld();
    }

    /** Calls a server that answers each call with \a answer. */
    void checkAnswers(const EndlessAnswer &answer)
    {
        flood_.answer = answer;
        std::vector<std::shared_ptr<PendingCall>> calls;
        for (std::size_t caller = 0; caller < Callers; ++caller) {
            calls.push_back(begin(request("GET", "/flood/x")));
        }
        for (const auto &pending : calls) {
            const GatewayAnswer got = finish(pending);
            BOOST_TEST((got.status >= 500 || !got.whole), "status " << got.status);
        }
        BOOST_TEST(callWithBody(8) == 200);
        BOOST_TEST(process_.running());
        checkHeld();
    }

private:
    std::vector<std::unique_ptr<ClientCrowd>> startCrowds(const std::vector<CrowdBytes> &kinds,
                                                          std::size_t clients)
    {
        std::vector<std::unique_ptr<ClientCrowd>> crowds;
        for (const CrowdBytes &bytes : kinds) {
            crowds.push_back(std::make_unique<ClientCrowd>(io_, callerEndpoint(), bytes, clients));
        }
        return crowds;
    }

    void checkHeld() const
    {
        const std::size_t held = mostHeld();
        BOOST_TEST_MESSAGE("held at most " << held / MiB << " MiB");
        BOOST_TEST(held <= MostHeldBytes, "held " << held / MiB << " MiB");
    }

    EndlessServer flood_;
    std::filesystem::path folder_;
    Process process_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientCrowdTest, CrowdFixture)

// Each guards against a process that runs out of memory by clients of this kind.

BOOST_AUTO_TEST_CASE(chunkedBodies_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Chunked, chunk(16 * KiB), JustShort});
}

BOOST_AUTO_TEST_CASE(largeChunks_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Chunked + "ff000\r\n", std::string(KiB, 'y'), JustShort});
}

BOOST_AUTO_TEST_CASE(tinyChunks_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Chunked, chunk(1), 2 * MiB});
}

BOOST_AUTO_TEST_CASE(bodiesWithLength_stopShortOfTheEnd_boxHoldsLittle)
{
    check({withLength(BodyBytes), std::string(KiB, 'y'), JustShort});
}

BOOST_AUTO_TEST_CASE(bodiesOverTheLimit_areAnnounced_boxHoldsLittle)
{
    check({withLength(9000000000), std::string(KiB, 'y'), Endless});
}

BOOST_AUTO_TEST_CASE(bodiesOverTheLimit_areJustSent_boxHoldsLittle)
{
    check({Chunked, chunk(16 * KiB), Endless});
}

BOOST_AUTO_TEST_CASE(chunkExtensions_haveNoEnd_boxHoldsLittle)
{
    check({Chunked + "5;", std::string(KiB, 'a'), Endless});
}

BOOST_AUTO_TEST_CASE(trailers_haveNoEnd_boxHoldsLittle)
{
    check({Chunked + "0\r\n", "X-More: y\r\n", Endless});
}

BOOST_AUTO_TEST_CASE(heads_haveNoEnd_boxHoldsLittle)
{
    check({Head, "X-More: " + std::string(100, 'y') + "\r\n", Endless});
}

BOOST_AUTO_TEST_CASE(headsOfTinyFields_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Head, "a:\r\n", HeadBytes - 16});
}

BOOST_AUTO_TEST_CASE(manyHeadsOfTinyFields_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Head, "a:\r\n", HeadBytes - 16}, ManyClients);
}

BOOST_AUTO_TEST_CASE(emptyLines_haveNoEnd_boxHoldsLittle)
{
    check({"\r\n", "\r\n", Endless});
}

BOOST_AUTO_TEST_CASE(bodiesBehindHeadsOfTinyFields_stopShortOfTheEnd_boxHoldsLittle)
{
    std::string head = Head;
    while (head.size() < HeadBytes - 64) {
        head += "a:\r\n";
    }
    check({head + "Content-Length: 100000\r\n\r\n", std::string(KiB, 'y'), HeadBytes + 80 * KiB});
}

BOOST_AUTO_TEST_CASE(bodiesThatAwaitAWord_stopShortOfTheEnd_boxHoldsLittle)
{
    check({Head + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(16 * KiB),
           JustShort});
}

BOOST_AUTO_TEST_CASE(pipelinedRequests_answersAreNotRead_boxHoldsLittle)
{
    check({"", "GET /nowhere HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: c\r\n\r\n", MiB});
}

// Guards against clients of one kind whose room those of another kind take.
BOOST_AUTO_TEST_CASE(clientsOfManyKinds_atOnce_boxHoldsLittle)
{
    checkTogether({{Chunked, chunk(16 * KiB), JustShort},
                   {Chunked, chunk(1), 2 * MiB},
                   {withLength(BodyBytes), std::string(KiB, 'y'), JustShort},
                   {Head, "a:\r\n", HeadBytes - 16},
                   {Chunked + "0\r\n", "X-More: y\r\n", Endless}});
}

// The same by servers whose answers have no end, at many callers.

BOOST_AUTO_TEST_CASE(answersWithLength_haveNoEnd_boxHoldsLittle)
{
    checkAnswers({AnswerHead + "Content-Length: 100000000\r\n\r\n", std::string(KiB, 'y')});
}

BOOST_AUTO_TEST_CASE(answersInChunks_haveNoEnd_boxHoldsLittle)
{
    checkAnswers({AnswerHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(KiB)});
}

BOOST_AUTO_TEST_CASE(headsOfAnswers_haveNoEnd_boxHoldsLittle)
{
    checkAnswers({AnswerHead, "X-More: y\r\n"});
}

BOOST_AUTO_TEST_SUITE_END()
