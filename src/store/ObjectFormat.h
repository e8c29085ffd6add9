/** \file
 * How a store of named objects is spoken to: what is asked for, and how its answers read.
 *
 * An object's content is JSON here; what it means is its reader's matter.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace limereel::store {

/** An object as it was read, or that it is gone. */
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool gone = false;
    nlohmann::json content;
};

/** A part of a list of objects. */
struct ObjectPage
{
    std::vector<StoredObject> objects;
    bool more = false;          ///< Ask on after the last name.
    std::uint64_t at = 0;       ///< The store's revision that the page shows.
    std::size_t unreadable = 0; ///< Objects left out as not even their names could be read.
};

/** What has changed since a revision. */
struct ObjectChanges
{
    std::vector<StoredObject> objects;
    std::uint64_t at = 0;       ///< Go on from here.
    std::size_t unreadable = 0; ///< Changes left out as not even a name could be read.
};

/** The hooks of one store interface. */
struct ObjectFormat
{
    /** The target of the request for the objects of \a kind behind the name \a after. */
    std::function<std::string(const std::string &kind, const std::string &after)> listTarget;

    /** The target of the request that waits up to \a wait for changes since \a at. */
    std::function<std::string(const std::string &kind, std::uint64_t at, kernel::Duration wait)>
            watchTarget;

    /** The target of the requests that replace or remove the object \a name. New ones are sent to
     * the list's target. */
    std::function<std::string(const std::string &kind, const std::string &name)> objectTarget;

    /** The body of a request that writes an object. \param revision only over this one. */
    std::function<nlohmann::json(const std::string &name, std::optional<std::uint64_t> revision,
                                 nlohmann::json content)>
            writeObject;

    /** Each reads an answer's body; a discarded value is an error. */
    std::function<tl::expected<StoredObject, std::string>(nlohmann::json body)> readObject;
    std::function<tl::expected<ObjectPage, std::string>(nlohmann::json body)> readPage;
    std::function<tl::expected<ObjectChanges, std::string>(nlohmann::json body)> readChanges;
};

} // namespace limereel::store
