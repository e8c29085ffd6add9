/** \file
 * Protocol of a store of named objects: how requests are built and answers are parsed.
 *
 * An object's content is JSON here and is not interpreted.
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

/** An object as read from the store, or the record of its removal. */
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool gone = false;
    nlohmann::json content;
};

/** One page of a list of objects. */
struct ObjectPage
{
    std::vector<StoredObject> objects;
    bool more = false;          ///< More objects follow after the last name.
    std::uint64_t at = 0;       ///< The store's revision at which the page was read.
    std::size_t unreadable = 0; ///< Number of objects omitted because their names couldn't be read.
};

/** The changes since a revision. */
struct ObjectChanges
{
    std::vector<StoredObject> objects;
    std::uint64_t at = 0;       ///< Revision from which to continue.
    std::size_t unreadable = 0; ///< Number of changes omitted because a name couldn't be read.
};

/** The request builders and parsers of one store interface. */
struct ObjectFormat
{
    /** The target of the request for the objects of \a kind that follow the name \a after. */
    std::function<std::string(const std::string &kind, const std::string &after)> listTarget;

    /** The target of the request that waits up to \a wait for changes since \a at. */
    std::function<std::string(const std::string &kind, std::uint64_t at, kernel::Duration wait)>
            watchTarget;

    /** The target of the requests that replace or remove the object \a name. New ones are sent to
     * the target of the list. */
    std::function<std::string(const std::string &kind, const std::string &name)> objectTarget;

    /** The body of a request that writes an object. \param revision if given, the write replaces
     * this revision only. */
    std::function<nlohmann::json(const std::string &name, std::optional<std::uint64_t> revision,
                                 nlohmann::json content)>
            writeObject;

    /** Each parses an answer's body; a discarded JSON value is an error. */
    std::function<tl::expected<StoredObject, std::string>(nlohmann::json body)> readObject;
    std::function<tl::expected<ObjectPage, std::string>(nlohmann::json body)> readPage;
    std::function<tl::expected<ObjectChanges, std::string>(nlohmann::json body)> readChanges;
};

} // namespace limereel::store
