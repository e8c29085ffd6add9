/** \file
 * The table of all keys of a box's INI file: the reference's words and the function that checks and
 * stores each.
 */
#pragma once

#include "kernel/BoxSettings.h"

#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace limereel::kernel {

/** Checks a value and stores it; the error says what was found and what is allowed. */
using SettingCheck =
        std::function<tl::expected<void, std::string>(const std::string &, BoxSettings &)>;

/** The default of a key that has none. */
inline constexpr std::string_view Required = "required";

/** One row of the table. */
struct SettingRow
{
    SettingInfo info;
    SettingCheck store;
};

/** All rows, in the order of the reference. */
const std::vector<SettingRow> &settingRows();

/** The rows of a gateway's own sections. */
std::vector<SettingRow> gatewayRows();

} // namespace limereel::kernel
