#include "kernel/BoxSettings.h"

#include "config/Values.h"
#include "kernel/SettingChecks.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <map>
#include <sstream>

namespace limereel::kernel {

namespace {

using Problems = std::vector<SettingsProblem>;
using Values = std::map<std::pair<std::string, std::string>, std::string>;

const SettingRow *findRow(const std::string &section, const std::string &key)
{
    const auto row = std::ranges::find_if(settingRows(), [&](const SettingRow &candidate) {
        return candidate.info.section == section && candidate.info.key == key;
    });
    return row == settingRows().end() ? nullptr : &*row;
}

bool isSection(const std::string &section)
{
    return std::ranges::any_of(settingRows(),
                               [&](const SettingRow &row) { return row.info.section == section; });
}

tl::expected<Values, Problems> parse(const std::string &text)
{
    boost::property_tree::ptree tree;
    std::istringstream input(text);
    try {
        boost::property_tree::read_ini(input, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return tl::unexpected(Problems{
                {"line " + std::to_string(error.line()), "",
                 error.message()
                         + "; allowed are [section] lines and key = value lines, each once"}});
    }
    Values values;
    for (const auto &[section, keys] : tree) {
        if (keys.empty() && !keys.data().empty()) {
            values[{"", section}] = keys.data();
        }
        for (const auto &[key, value] : keys) {
            values[{section, key}] = value.data();
        }
    }
    return values;
}

void checkUnknown(const Values &values, Problems &problems)
{
    for (const auto &[place, value] : values) {
        const auto &[section, key] = place;
        if (!isSection(section)) {
            problems.push_back({section, key, "unknown section; see docs/SETTINGS.md"});
        } else if (findRow(section, key) == nullptr) {
            problems.push_back({section, key, "unknown key; see docs/SETTINGS.md"});
        }
    }
}

void checkAddresses(const BoxSettings &settings, Problems &problems)
{
    const std::array<std::pair<std::string, Endpoint>, 4> used = {
            std::pair{"caller", settings.caller}, std::pair{"control", settings.control},
            std::pair{"peer", settings.peer}, std::pair{"address", settings.platform}};
    for (std::size_t second = 1; second < used.size(); ++second) {
        for (std::size_t first = 0; first < second; ++first) {
            if (used[first].second == used[second].second && used[first].second.port != 0) {
                problems.push_back({second == 3 ? "platform" : "listen", used[second].first,
                                    "found '" + text(used[second].second)
                                            + "', which is taken by [listen] " + used[first].first
                                            + "; allowed is an address of its own"});
            }
        }
    }
}

void checkDurations(const BoxSettings &settings, Problems &problems)
{
    if (settings.heartbeatPeriod * 3 > settings.permitLease) {
        problems.push_back(
                {"peers", "permit-lease", "allowed is at least three heartbeat-periods"});
    }
    // A permit must outlive a lost renewal, and a new owner must hear a renewal before it settles.
    if (settings.settle * 2 > settings.permitLease * 3) {
        problems.push_back({"peers", "settle",
                            "it is more than one and a half times permit-lease; permits of the "
                            "owner before would end first"});
    }
}

} // namespace

tl::expected<Endpoint, std::string> endpointFrom(std::string_view text)
{
    const std::string allowed =
            "IP:PORT with an IP number and a port from 1 to 65535, IPv6 in brackets";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return wrong(text, allowed);
    }
    std::string address(text.substr(0, colon));
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    const auto port = config::toInteger(text.substr(colon + 1));
    boost::system::error_code error;
    boost::asio::ip::make_address(address, error);
    constexpr std::int64_t MostPort = 65535;
    if (error || !port || *port < 1 || *port > MostPort) {
        return wrong(text, allowed);
    }
    return Endpoint{address, static_cast<std::uint16_t>(*port)};
}

std::string text(const Endpoint &endpoint)
{
    const bool six = endpoint.address.find(':') != std::string::npos;
    return (six ? "[" + endpoint.address + "]" : endpoint.address) + ":"
           + std::to_string(endpoint.port);
}

std::string text(const SettingsProblem &problem, const std::string &file)
{
    const std::string place =
            problem.section.starts_with("line ") ? problem.section : "[" + problem.section + "]";
    return file + ": " + place + (problem.key.empty() ? "" : " " + problem.key) + ": "
           + problem.message;
}

const std::vector<SettingInfo> &settingTable()
{
    static const std::vector<SettingInfo> Table = [] {
        std::vector<SettingInfo> table;
        for (const SettingRow &row : settingRows()) {
            table.push_back(row.info);
        }
        return table;
    }();
    return Table;
}

tl::expected<BoxSettings, std::vector<SettingsProblem>> settingsFrom(const std::string &text)
{
    const auto values = parse(text);
    if (!values) {
        return tl::unexpected(values.error());
    }
    Problems problems;
    checkUnknown(*values, problems);
    BoxSettings settings;
    for (const SettingRow &row : settingRows()) {
        const std::string section(row.info.section);
        const std::string key(row.info.key);
        const auto found = values->find({section, key});
        const bool written = found != values->end();
        const bool required = row.info.byDefault == Required;
        if (!written && required) {
            problems.push_back(
                    {section, key, "missing; allowed is " + std::string(row.info.allowed)});
            continue;
        }
        // A template writes a key also where it has no value for it.
        const bool given = written && (required || !found->second.empty());
        const auto stored =
                row.store(given ? found->second : std::string(row.info.byDefault), settings);
        if (!stored) {
            problems.push_back({section, key, stored.error()});
        }
    }
    if (problems.empty()) {
        checkAddresses(settings, problems);
        checkDurations(settings, problems);
    }
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return settings;
}

tl::expected<Duration, std::string> durationFrom(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, Duration>, 3> Units = {
            std::pair{"ms", Duration(1ms)}, std::pair{"min", Duration(60s)},
            std::pair{"s", Duration(1s)}};
    constexpr double MostCount = 100000000;
    for (const auto &[unit, length] : Units) {
        if (!text.ends_with(unit)) {
            continue;
        }
        const auto count = config::toDecimal(text.substr(0, text.size() - unit.size()));
        if (count && *count >= 0 && *count <= MostCount) {
            return std::chrono::round<Duration>(std::chrono::duration<double>(length) * *count);
        }
    }
    return wrong(text, "a number with a unit, ms, s or min, such as 250ms");
}

} // namespace limereel::kernel
