/** \file
 * The platform's list of live and leaving boxes and backend servers, as values. It lags.
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
    AddressText peer;    ///< For other boxes.
    AddressText control; ///< For operators.
    bool leaving = false;

    bool operator==(const ListedBox &) const = default;
};

/** A backend server. */
struct ListedBackend
{
    kernel::BackendId backend;
    AddressText address;
    std::string service;           ///< Name of the plain service; empty for a model engine.
    std::size_t modelCapacity = 1; ///< Of an engine: models that fit at once.
    bool checksTokens = false;     ///< Of an engine: whether it refuses orders with an old token.
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

    bool operator==(const HallList &) const = default;
};

/**
 * Whether \a next may follow \a last at once. One that names fewer than half of the backend servers
 * is more likely a fault of the list (a restore, an outage of what fills it) than of the hall; a
 * reader waits until it has stood for a while.
 */
bool plausible(const HallList &last, const HallList &next);

/** The list in \a json; nothing if it is none. Never throws. */
std::optional<HallList> hallListFromJson(std::string_view json);

/** The names in a JSON array; nothing if it is none. */
std::optional<std::vector<std::string>> namesFromJson(std::string_view json);

} // namespace limereel::store
