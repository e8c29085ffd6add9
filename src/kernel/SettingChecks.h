/** \file
 * Checks of settings by kind, each made for the field that it stores into.
 *
 * A field is whatever std::invoke() turns settings into a reference with: a pointer to a member, or
 * a function for a member of a member.
 */
#pragma once

#include "config/Values.h"
#include "kernel/SettingRows.h"

#include <functional>

namespace limereel::kernel {

/** The message of a wrong value. */
inline tl::unexpected<std::string> wrong(std::string_view found, std::string_view allowed)
{
    return tl::unexpected("found '" + std::string(found) + "', allowed is " + std::string(allowed));
}

/** A name, handed to \a put. */
inline SettingCheck name(const std::function<void(BoxSettings &, std::string)> &put)
{
    return [put](const std::string &value,
                 BoxSettings &settings) -> tl::expected<void, std::string> {
        if (!config::isName(value)) {
            return wrong(value, "a name of lower-case letters, digits, '.', '_' and '-'");
        }
        put(settings, value);
        return {};
    };
}

/** An address. */
template <typename Field>
SettingCheck endpoint(Field field)
{
    return [field](const std::string &value,
                   BoxSettings &settings) -> tl::expected<void, std::string> {
        return endpointFrom(value).map(
                [&](const Endpoint &found) { std::invoke(field, settings) = found; });
    };
}

/** An address that may be left out. */
template <typename Field>
SettingCheck optionalEndpoint(Field field)
{
    return [check = endpoint(field)](const std::string &value, BoxSettings &settings) {
        return value.empty() ? tl::expected<void, std::string>() : check(value, settings);
    };
}

/** A duration between two limits. */
template <typename Field>
SettingCheck duration(Field field, Duration least, Duration most)
{
    return [=](const std::string &value, BoxSettings &settings) -> tl::expected<void, std::string> {
        const auto found = durationFrom(value);
        if (!found) {
            return tl::unexpected(found.error());
        }
        if (*found < least || *found > most) {
            const auto shown = [](Duration limit) { return std::to_string(limit / 1ms) + "ms"; };
            return wrong(value, shown(least) + " to " + shown(most));
        }
        std::invoke(field, settings) = *found;
        return {};
    };
}

/** True or false. */
template <typename Field>
SettingCheck flag(Field field)
{
    return [field](const std::string &value,
                   BoxSettings &settings) -> tl::expected<void, std::string> {
        if (value != "true" && value != "false") {
            return wrong(value, "true or false");
        }
        std::invoke(field, settings) = value == "true";
        return {};
    };
}

/** An integer between two limits. */
template <typename Field>
SettingCheck count(Field field, std::int64_t least, std::int64_t most)
{
    return [=](const std::string &value, BoxSettings &settings) -> tl::expected<void, std::string> {
        const auto found = config::toInteger(value);
        if (!found || *found < least || *found > most) {
            return wrong(value, "an integer from " + std::to_string(least) + " to "
                                        + std::to_string(most));
        }
        std::invoke(field, settings) = static_cast<std::uint32_t>(*found);
        return {};
    };
}

/** A decimal between two limits. */
template <typename Field>
SettingCheck decimal(Field field, double least, double most)
{
    return [=](const std::string &value, BoxSettings &settings) -> tl::expected<void, std::string> {
        const auto found = config::toDecimal(value);
        if (!found || *found < least || *found > most) {
            return wrong(value, "a decimal from " + config::trimmedNumber(least) + " to "
                                        + config::trimmedNumber(most));
        }
        std::invoke(field, settings) = *found;
        return {};
    };
}

} // namespace limereel::kernel
