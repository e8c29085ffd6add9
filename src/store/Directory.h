/** \file
 * The platform's list of boxes and backend servers that are live or shutting down. The list may be
 * out of date.
 */
#pragma once

#include "kernel/decisions/Name.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::store {

/** An address as the platform writes it: "IP:PORT". */
using AddressText = std::string;

/** A box of the system. */
struct ListedBox
{
    kernel::BoxId box;
    AddressText peer;    ///< Address for other boxes.
    AddressText control; ///< Address for operators.
    bool leaving = false;

    bool operator==(const ListedBox &) const = default;
};

/** A backend server. */
struct ListedBackend
{
    kernel::BackendId backend;
    AddressText address;
    std::string service;           ///< Name of the plain service; empty for a model engine.
    std::size_t modelCapacity = 1; ///< Of an engine: number of models that fit at once.
    bool checksTokens = false;     ///< Of an engine: whether it refuses requests with an old token.
    bool leaving = false;

    bool isEngine() const { return service.empty(); }
    bool operator==(const ListedBackend &) const = default;
};

/** The list of one hall. */
struct HallList
{
    std::string region;
    std::vector<ListedBox> boxes;
    std::vector<ListedBackend> backends;
    std::size_t unreadable = 0; ///< Number of entries left out because they couldn't be read.

    bool operator==(const HallList &) const = default;
};

/**
 * Whether \a next may replace \a last immediately. A list that names fewer than half of the last
 * one's backend servers is more likely a fault of the list (a restore, an outage of what fills it)
 * than of the hall; a reader accepts such a list only after it has stayed so for a while.
 */
bool plausible(const HallList &last, const HallList &next);

/** Parses a list from \a json, without the entries that can't be read; nullopt if it is no list.
 * Never throws. */
std::optional<HallList> hallListFromJson(std::string_view json);

/** Parses a JSON array of halls' names, without what is none; nullopt if \a json is no array. */
std::optional<std::vector<std::string>> hallNamesFromJson(std::string_view json);

} // namespace limereel::store
