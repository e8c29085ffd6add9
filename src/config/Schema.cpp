#include "config/Schema.h"

#include "config/Values.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace limereel::config {

namespace {

using enum ValueKind;

constexpr double NoLimit = 0;

constexpr auto Keys = std::to_array<KeyInfo>({
        {"allow-pools", Names, true, false, false, true, NoLimit, NoLimit, "pool names or *", "",
         "pools that the organisation may use"},
        {"allow-services", Names, true, false, false, true, NoLimit, NoLimit, "service names or *",
         "", "services that the organisation may use"},
        {"api-key-hashes", Hashes, true, false, false, false, NoLimit, NoLimit,
         "64 hexadecimal digits each", "",
         "hashes of the organisation's API keys, as printed by 'limereel hash-key'"},
        {"candidates", Integer, true, true, false, true, 1, 16, "engines", "5",
         "engines weighed for a chat; more spreads load better and costs reuse when engines are "
         "lost"},
        {"demand-key", Flag, true, false, true, true, NoLimit, NoLimit, "true or false", "false",
         "a call that may not be repeated must carry an Idempotency-Key"},
        {"idle-load", Integer, true, true, false, true, 1, 64, "requests", "1",
         "an engine with fewer requests than this takes one more whatever the mean; above 1 it "
         "keeps "
         "returning chats at their engine in quiet hours, where the load factor is then not the "
         "bound"},
        {"load-factor", Decimal, true, true, false, true, 1.05, 4, "times the mean load", "1.5",
         "no engine of the pool carries more than this times the mean, rounded up"},
        {"max-in-flight", Integer, true, false, false, true, 1, 100000, "requests in one hall",
         "64", "requests of the organisation that may run at once in one hall"},
        {"min-copies", Integer, true, true, false, true, 1, 1000, "engines in one hall", "1",
         "engines that keep each model of the pool loaded, whatever the demand"},
        {"models", Names, false, true, false, false, NoLimit, NoLimit, "model names", "",
         "models that the pool serves; a model belongs to one pool"},
        {"priority", Integer, true, false, false, true, 0, 9, "0 (low) to 9 (high)", "5",
         "priority that engines are told for the organisation's requests"},
        {"repeatable", Flag, true, false, true, true, NoLimit, NoLimit, "true or false", "false",
         "calls of the service with POST, PUT, PATCH or DELETE may be repeated"},
        {"requests-per-minute", Integer, true, false, false, true, 0, 10000000,
         "requests a minute in one hall; 0 is no limit", "0",
         "requests of the organisation that may begin in a minute in one hall"},
        {"slots", Integer, true, true, false, true, 1, 4096, "requests", "64",
         "most requests on one engine at once, whatever the mean"},
        {"spill", Flag, true, true, false, true, NoLimit, NoLimit, "true or false", "true",
         "a request may run in another hall when its own has no engine for it"},
});

std::string quoted(std::string_view value)
{
    return "'" + std::string(value) + "'";
}

std::optional<std::string> checkRange(const KeyInfo &key, std::string_view value, double number)
{
    if (number >= key.least && number <= key.most) {
        return std::nullopt;
    }
    return "found " + quoted(value) + ", allowed is " + trimmedNumber(key.least) + " to "
           + trimmedNumber(key.most) + " (" + std::string(key.unit) + ")";
}

std::optional<std::string> checkInteger(const KeyInfo &key, std::string_view value)
{
    const auto number = toInteger(value);
    if (!number) {
        return "found " + quoted(value) + ", which is not an integer";
    }
    return checkRange(key, value, static_cast<double>(*number));
}

std::optional<std::string> checkDecimal(const KeyInfo &key, std::string_view value)
{
    const auto number = toDecimal(value);
    if (!number) {
        return "found " + quoted(value) + ", which is not a decimal";
    }
    return checkRange(key, value, *number);
}

std::optional<std::string> checkNames(std::string_view value)
{
    for (const std::string &name : splitNames(value)) {
        if (name != "*" && !isName(name)) {
            return "found " + quoted(name)
                   + ", allowed are names of lower-case letters, digits, '.', '_' and '-'";
        }
    }
    return std::nullopt;
}

std::optional<std::string> checkHashes(std::string_view value)
{
    constexpr std::size_t HashDigits = 64;
    for (const std::string &hash : splitNames(value)) {
        const bool hex = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (hash.size() != HashDigits || !hex) {
            // The value may be a key pasted by mistake, so it isn't repeated in the message.
            return "found a value that is not 64 hexadecimal digits; a key itself must never stand "
                   "here, use 'limereel hash-key'";
        }
    }
    return std::nullopt;
}

} // namespace

std::span<const KeyInfo> schema()
{
    return Keys;
}

const KeyInfo *findKey(std::string_view key)
{
    const auto row = std::ranges::find(Keys, key, &KeyInfo::key);
    return row == Keys.end() ? nullptr : &*row;
}

std::optional<NodeKind> kindOf(std::string_view path)
{
    constexpr std::string_view PoolPrefix = "pool:";
    constexpr std::string_view ServicePrefix = "service:";
    if (path == "/") {
        return NodeKind::Organisation;
    }
    if (path.starts_with(PoolPrefix)) {
        return isName(path.substr(PoolPrefix.size())) ? std::optional(NodeKind::Pool)
                                                      : std::nullopt;
    }
    if (path.starts_with(ServicePrefix)) {
        return isName(path.substr(ServicePrefix.size())) ? std::optional(NodeKind::Service)
                                                         : std::nullopt;
    }
    if (!path.starts_with('/')) {
        return std::nullopt;
    }
    std::string_view rest = path;
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t slash = std::min(rest.find('/'), rest.size());
        if (!isName(rest.substr(0, slash))) {
            return std::nullopt;
        }
        rest.remove_prefix(slash);
    }
    return NodeKind::Organisation;
}

std::optional<std::string> parentOf(std::string_view path)
{
    if (path == "/") {
        return std::nullopt;
    }
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos || slash == 0) {
        return "/";
    }
    return std::string(path.substr(0, slash));
}

std::optional<std::string> checkValue(const KeyInfo &key, std::string_view value)
{
    switch (key.kind) {
    case Integer:
        return checkInteger(key, value);
    case Decimal:
        return checkDecimal(key, value);
    case Flag:
        if (value != "true" && value != "false") {
            return "found " + quoted(value) + ", allowed is true or false";
        }
        return std::nullopt;
    case Names:
        return checkNames(value);
    case Hashes:
        break;
    }
    return checkHashes(value);
}

std::string_view text(ValueKind kind)
{
    switch (kind) {
    case Integer:
        return "integer";
    case Decimal:
        return "decimal";
    case Flag:
        return "flag";
    case Names:
        return "names";
    case Hashes:
        break;
    }
    return "hashes";
}

} // namespace limereel::config
