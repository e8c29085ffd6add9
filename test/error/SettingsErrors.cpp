// Every refusal of a box's settings: the message names section, key, what was found and what is
// allowed.

#include "kernel/BoxSettings.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace limereel::kernel;

namespace {

using Sections = std::map<std::string, std::map<std::string, std::string>>;

Sections goodSections()
{
    return {{"box", {{"name", "box-1"}, {"hall", "accra-a"}, {"region", "gh-south"}}},
            {"listen",
             {{"caller", "127.0.0.1:8000"},
              {"control", "127.0.0.1:8001"},
              {"peer", "127.0.0.1:8002"}}},
            {"platform", {{"address", "127.0.0.1:9000"}}},
            {"peers", {{"keys", std::string(64, 'a')}}}};
}

std::string iniOf(const Sections &sections)
{
    std::string text;
    for (const auto &[section, keys] : sections) {
        text += "[" + section + "]\n";
        for (const auto &[key, value] : keys) {
            text += key + " = " + value + "\n";
        }
    }
    return text;
}

struct Row
{
    std::string section;
    std::string key;
    std::string value;
    std::string says;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsErrors)

BOOST_AUTO_TEST_CASE(settings_good_areTakenWithTheirDefaults)
{
    const auto settings = settingsFrom(iniOf(goodSections()));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->box.text() == "box-1");
    BOOST_TEST((settings->heartbeatPeriod == Duration(std::chrono::seconds(1))));
    BOOST_TEST(settings->bodyBytes == 1048576U);
}

// An operator's bounds may be fractions: a deployment with a slack of 33.16 didn't start.
BOOST_AUTO_TEST_CASE(settings_fractions_areTaken)
{
    Sections sections = goodSections();
    sections["gateway"] = {{"retry-slack", "33.1578947368421"},
                           {"drain-within", "2500.5ms"},
                           {"stop-within", "8.0s"}};
    const auto settings = settingsFrom(iniOf(sections));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->gateway.retrySlack == 33.1578947368421);
    BOOST_TEST((settings->gateway.drainWithin == Duration(std::chrono::microseconds(2500500))));
    BOOST_TEST((settings->gateway.stopWithin == Duration(std::chrono::seconds(8))));
}

// Guards against a box that doesn't start, as a template's gap had no value to be filled with.
BOOST_AUTO_TEST_CASE(settings_optionalKeyWithoutAValue_isAsThoughItWereLeftOut)
{
    const auto without = settingsFrom(iniOf(goodSections()));
    BOOST_REQUIRE(without.has_value());
    for (const SettingInfo &info : settingTable()) {
        if (info.byDefault == "required") {
            continue;
        }
        for (const char *blank : {"", "  "}) {
            Sections sections = goodSections();
            sections[std::string(info.section)][std::string(info.key)] = blank;
            const auto settings = settingsFrom(iniOf(sections));
            BOOST_TEST_REQUIRE(settings.has_value(), info.section << ' ' << info.key);
            BOOST_TEST((*settings == *without), info.section << ' ' << info.key);
        }
    }
}

BOOST_AUTO_TEST_CASE(settings_oneWrongValue_isNamedWithPlaceFindingAndRemedy)
{
    const Row rows[] = {
            {"box", "name", "Box 1", "found 'Box 1', allowed is a name"},
            {"box", "name", "", "allowed is a name"},
            {"box", "log-level", "loud", "found 'loud', allowed is error, warn, info or debug"},
            {"box", "seed", "-1", "found '-1', allowed is an integer from 0"},
            {"box", "colour", "red", "unknown key"},
            {"boxes", "name", "x", "unknown section"},
            {"listen", "caller", "localhost:80", "found 'localhost:80', allowed is IP:PORT"},
            {"listen", "caller", "127.0.0.1", "found '127.0.0.1', allowed is IP:PORT"},
            {"listen", "caller", "127.0.0.1:0", "port from 1 to 65535"},
            {"listen", "caller", "127.0.0.1:70000", "port from 1 to 65535"},
            {"listen", "control", "127.0.0.1:8000", "which is taken by [listen] caller"},
            {"listen", "peer", "127.0.0.1:8001", "which is taken by [listen] control"},
            {"platform", "address", "127.0.0.1:8002", "which is taken by [listen] peer"},
            {"platform", "timeout", "2", "a number with a unit, ms, s or min"},
            {"platform", "timeout", "2h", "a number with a unit, ms, s or min"},
            {"platform", "timeout", "-2s", "a number with a unit, ms, s or min"},
            {"platform", "timeout", "31s", "found '31s', allowed is 10ms to 30000ms"},
            {"peers", "keys", "secret", "one or two keys of 64 hexadecimal digits"},
            {"peers", "keys", "", "one or two keys of 64 hexadecimal digits"},
            {"peers", "known", "box-2:127.0.0.1:1", "entries NAME@ADDRESS:PORT"},
            {"peers", "fanout", "0", "found '0', allowed is an integer from 1 to 16"},
            {"peers", "fanout", "two", "found 'two', allowed is an integer from 1 to 16"},
            {"peers", "settle", "60s", "more than one and a half times permit-lease"},
            {"peers", "permit-lease", "2s", "at least three heartbeat-periods"},
            {"operators", "keys", "olga", "entries NAME:HASH"},
            {"operators", "keys", "olga:xyz", "entries NAME:HASH"},
            {"callers", "body-bytes", "10", "allowed is an integer from 1024 to 67108864"},
            {"backends", "retry-ratio", "1.5", "found '1.5', allowed is a decimal from 0 to 1"},
            {"backends", "retry-ratio", "nan", "allowed is a decimal from 0 to 1"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.section << ' ' << row.key << " = " << row.value)
        {
            Sections sections = goodSections();
            sections[row.section][row.key] = row.value;
            const auto settings = settingsFrom(iniOf(sections));
            BOOST_REQUIRE(!settings.has_value());
            const std::string message = text(settings.error().front(), "box.ini");
            BOOST_TEST(message.starts_with("box.ini: [" + row.section + "] " + row.key + ": "),
                       message);
            BOOST_TEST(message.find(row.says) != std::string::npos, message);
        }
    }
}

BOOST_AUTO_TEST_CASE(settings_anyRequiredKeyMissing_isNamed)
{
    for (const SettingInfo &info : settingTable()) {
        if (info.byDefault != "required") {
            continue;
        }
        Sections sections = goodSections();
        sections[std::string(info.section)].erase(std::string(info.key));
        const auto settings = settingsFrom(iniOf(sections));
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(settings.error().size() == 1U);
        BOOST_TEST(settings.error().front().key == info.key);
        BOOST_TEST(settings.error().front().message.starts_with("missing; allowed is "));
    }
}

BOOST_AUTO_TEST_CASE(settings_manyWrong_areAllNamedAtOnce)
{
    Sections sections = goodSections();
    sections["box"]["name"] = "X";
    sections["peers"]["fanout"] = "99";
    sections["nope"]["a"] = "b";
    const auto settings = settingsFrom(iniOf(sections));
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().size() == 3U);
}

BOOST_AUTO_TEST_CASE(settings_brokenIni_isNamedByLine)
{
    for (const char *text : {"[box\nname = x\n", "[box]\nname\n", "[box]\nname = a\nname = b\n"}) {
        const auto settings = settingsFrom(text);
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(settings.error().front().section.starts_with("line "));
    }
}

BOOST_AUTO_TEST_CASE(settings_wrongSecret_isNotRepeatedInAnyMessage)
{
    Sections sections = goodSections();
    sections["peers"]["keys"] = "my-secret-word";
    sections["operators"]["keys"] = "olga:my-secret-word";
    const auto settings = settingsFrom(iniOf(sections));
    BOOST_REQUIRE(!settings.has_value());
    for (const SettingsProblem &problem : settings.error()) {
        BOOST_TEST(problem.message.find("my-secret-word") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()
