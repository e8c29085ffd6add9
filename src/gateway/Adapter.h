/** \file
 * All that a gateway needs to run on one platform: the dialect of callers and backend servers, the
 * interface of the store, and the readers of what lies there.
 */
#pragma once

#include "forward/Dialect.h"
#include "forward/Snapshot.h"
#include "store/ObjectFormat.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace limereel::gateway {

/** One platform. */
struct Adapter
{
    forward::Dialect dialect;
    store::ObjectFormat store;

    std::string configurationKind; ///< Of the object that holds the configuration.
    std::string configurationName;
    std::string serverKind;    ///< Of the objects in which backend servers record themselves.
    std::string crashKind;     ///< Of the objects that keep stopped requests; the system's own.
    std::string hallDrainKind; ///< Of the objects by which the operator drains halls.

    std::function<tl::expected<forward::SnapshotContent, std::string>(const nlohmann::json &)>
            readConfiguration;
    std::function<tl::expected<forward::ServerEntry, std::string>(const store::StoredObject &)>
            readServer;

    /** The hall that is to be drained. */
    std::function<tl::expected<std::string, std::string>(const store::StoredObject &)>
            readHallDrain;
};

} // namespace limereel::gateway
