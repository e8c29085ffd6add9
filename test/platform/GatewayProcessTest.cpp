// The real binary as a process, with settings made from the template: served, explained by its logs
// without a secret in them, reloaded and stopped by signals.

#include "platform/GatewayFixture.h"
#include "support/Ports.h"
#include "support/Processes.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/stat.h>

using namespace limereel;
using namespace limereel::support;

namespace {

std::string fileText(const std::filesystem::path &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

class ProcessFixture : public GatewayFixture
{
public:
    ProcessFixture()
        : folder_(std::filesystem::temp_directory_path()
                  / ("limereel-gateway-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(folder_);
        putConfiguration(configuration(1));
        list(runner(0), "pool");
        list(runner(1), "pool");
    }

    ~ProcessFixture() { std::filesystem::remove_all(folder_); }

    std::filesystem::path settingsFile() const { return folder_ / "box.ini"; }
    std::filesystem::path logFile() const { return folder_ / "box.log"; }

    /** Starts a process that gets \a number while it reads its settings. */
    Process startAndSignal(int number)
    {
        writeSettings("5000");
        const std::string text = fileText(settingsFile());
        std::filesystem::remove(settingsFile());
        BOOST_REQUIRE(::mkfifo(settingsFile().c_str(), 0600) == 0);
        Process process({LIMEREEL_BINARY, "gateway", "--settings", settingsFile().string()},
                        logFile().string());
        // Opens once the process has come to reading.
        std::ofstream slowly(settingsFile());
        process.signal(number);
        std::filesystem::remove(settingsFile());
        std::ofstream(settingsFile()) << text;
        slowly << text;
        return process;
    }

    /** The deployment's template, filled as the platform fills it. \param missing gaps that the
     * platform has no value for. */
    void writeSettings(const std::string &revokeMs, const std::set<std::string> &missing = {})
    {
        std::string text =
                fileText(std::filesystem::path(LIMEREEL_SOURCE_DIR) / "deploy/node.ini.template");
        const std::vector<std::pair<std::string, std::string>> values = {
                {"{{node}}", "box-1"},
                {"{{zone}}", "hall-a"},
                {"{{region}}", "region-a"},
                {"{{listen.front}}", kernel::text(callerEndpoint())},
                {"{{listen.ready}}", kernel::text(readyEndpoint())},
                {"{{listen.control}}", kernel::text(controlEndpoint())},
                {"{{ip}}:{{internal_ports.0}}", kernel::text(peerEndpoint())},
                {"{{platform.address}}", kernel::text(storeEndpoint())},
                {"metrics-port = 9464", "metrics-port = 0"},
                {"{{seed_nodes}}", "127.0.0.1:1"},
                {"{{limits.link_mbps}}", "1000.0"},
                {"{{limits.max_fds}}", "4100"},
                {"{{limits.memory_mb}}", "260"},
                {"{{beat_interval_ms}}", "1200"},
                {"{{bounds.revoke_ms}}", revokeMs},
                {"{{bounds.drain_ms}}", "2000"},
                {"{{bounds.strict_revoke}}", "true"},
                {"{{bounds.config_apply_ms}}", "2000"},
                {"{{bounds.grace_s}}", "8"},
                {"{{bounds.contact_ms}}", "3000"},
                {"{{bounds.retry_ratio}}", "0.2"},
                {"{{bounds.retry_window_s}}", "10"},
                {"{{bounds.retry_slack}}", "54"},
                {"{{bounds.cap_x}}", "2"},
                {"{{bounds.again_s}}", "10"},
                {"{{bounds.evacuate_ms}}", "5000"},
                {"{{bounds.cold_excess}}", "1.5"},
                {"{{bounds.cold_slack}}", "5"},
                {"{{@}}@{{.}}", "hall-a@region-a"}};
        for (const auto &[from, to] : values) {
            replaceAll(text, from, missing.contains(from) ? "" : to);
        }
        // What is left are the marks of parts that stand where a value is given.
        for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
            text.erase(at, text.find("}}", at) + 2 - at);
        }
        std::ofstream(settingsFile()) << text;
    }

protected:
    std::filesystem::path folder_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayProcessTest, ProcessFixture)

BOOST_AUTO_TEST_CASE(filledTemplate_isGoodForCheckSettings)
{
    writeSettings("5000");
    Process check({LIMEREEL_BINARY, "check-settings", settingsFile().string()});
    BOOST_TEST(check.wait() == 0);
}

// Guards against a box that doesn't start where a deployment doesn't give a limit or a bound.
BOOST_AUTO_TEST_CASE(filledTemplate_optionalValuesAreNotGiven_isGoodForCheckSettings)
{
    const std::set<std::string> missing = {
            "{{limits.link_mbps}}",   "{{limits.max_fds}}",       "{{limits.memory_mb}}",
            "{{bounds.retry_ratio}}", "{{bounds.strict_revoke}}", "{{bounds.retry_slack}}",
            "{{bounds.cap_x}}",       "{{bounds.cold_excess}}",   "{{bounds.cold_slack}}"};
    for (const std::string &gap : missing) {
        writeSettings("5000", {gap});
        Process check({LIMEREEL_BINARY, "check-settings", settingsFile().string()});
        BOOST_TEST(check.wait() == 0, gap);
    }
    writeSettings("5000", missing);
    Process check({LIMEREEL_BINARY, "check-settings", settingsFile().string()});
    BOOST_TEST(check.wait() == 0);
}

BOOST_AUTO_TEST_CASE(templateWithAGap_isRefusedWithItsPlace)
{
    writeSettings("");
    Process check({LIMEREEL_BINARY, "check-settings", settingsFile().string()},
                  (folder_ / "check.log").string());
    BOOST_TEST(check.wait() == 2);
    BOOST_TEST(fileText(folder_ / "check.log").find("[gateway] revoke-within: found 'ms'")
               != std::string::npos);
}

// A finding of the soak: the system's default for these signals ended a process that still started.
BOOST_AUTO_TEST_CASE(reloadAsTheProcessStarts_itStartsAndReadsItsSettingsAgain)
{
    Process process = startAndSignal(SIGHUP);
    until([&] { return ready() || !process.running(); }, "readiness");
    BOOST_REQUIRE(process.running());
    until([this] { return fileText(logFile()).find("read again") != std::string::npos; },
          "the reload");
    BOOST_TEST(call(request("GET", "/again/x")).status == 200);
}

BOOST_AUTO_TEST_CASE(stopAsTheProcessStarts_itEndsAsPlanned)
{
    Process process = startAndSignal(SIGTERM);
    until([&] { return !process.running(); }, "the end");
    BOOST_TEST(process.wait() == 0);
}

BOOST_AUTO_TEST_CASE(process_serves_isExplainedWithoutSecrets_reloadsAndStops)
{
    writeSettings("5000");
    Process process({LIMEREEL_BINARY, "gateway", "--settings", settingsFile().string()},
                    logFile().string());
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(call(request("POST", "/once/x", http::Fields().with("X-Attempt-Id", "id-77"))).status
               == 200);
    BOOST_TEST(
            call(request("GET", "/again/x", http::Fields().with("X-Api-Key", "wrong-key"))).status
            == 401);
    Process status({LIMEREEL_BINARY, "status", "--box", kernel::text(controlEndpoint())},
                   (folder_ / "status.log").string());
    until([&] { return !status.running(); }, "the status");
    BOOST_TEST(status.wait() == 0);
    const std::string told = fileText(folder_ / "status.log");
    BOOST_TEST(told.find("box box-1 of hall hall-a: ready") != std::string::npos, told);
    BOOST_TEST(told.find("configuration version 1, confirmed ") != std::string::npos, told);
    BOOST_TEST(told.find("2 backend servers are listed") != std::string::npos, told);
    writeSettings("4000");
    process.signal(SIGHUP);
    until([this] { return fileText(logFile()).find("read again") != std::string::npos; },
          "the reload");
    BOOST_TEST(call(request("GET", "/again/x")).status == 200);
    process.signal(SIGTERM);
    until([&] { return !process.running(); }, "the end");
    BOOST_TEST(process.wait() == 0);
    const std::string log = fileText(logFile());
    for (const char *secret : {"key-one", "wrong-key", "the body", "done by"}) {
        BOOST_TEST(log.find(secret) == std::string::npos, secret);
    }
    Process explain({LIMEREEL_BINARY, "explain", "id-77", logFile().string()},
                    (folder_ / "story.log").string());
    BOOST_TEST(explain.wait() == 0);
    const std::string story = fileText(folder_ / "story.log");
    BOOST_TEST(story.find("goes to a backend server") != std::string::npos, story);
    BOOST_TEST(story.find("result=ok") != std::string::npos, story);
}

// A machine that is suspended doesn't live through that time, and its steady clock doesn't count
// it; a key that was taken away meanwhile must not be honoured after it. Before, the box took its
// last confirmation of the keys for as old as its steady clock said, and served the request.
BOOST_AUTO_TEST_CASE(machineWasSuspended_keysAreRefusedUntilTheStoreConfirmsThem)
{
    writeSettings("5000");
    const std::string preload = std::string("LD_PRELOAD=") + LIMEREEL_SUSPENDED_CLOCK;
    Process process({"/usr/bin/env", preload, "ASAN_OPTIONS=verify_asan_link_order=0",
                     LIMEREEL_BINARY, "gateway", "--settings", settingsFile().string()},
                    logFile().string());
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(call(request("GET", "/again/x")).status == 200);
    store().faults.silent = true;
    process.signal(SIGUSR2);
    BOOST_TEST(call(request("GET", "/again/x")).status == 503);
    store().faults.silent = false;
    until([this] { return call(request("GET", "/again/x")).status == 200; }, "service again");
}

BOOST_AUTO_TEST_SUITE_END()
