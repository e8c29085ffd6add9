/** \file
 * All that a gateway needs to run on one platform: the HTTP dialect of callers and backend servers,
 * the interface of the store, and the parsers of the objects in it.
 */
#pragma once

#include "forward/Dialect.h"
#include "forward/Snapshot.h"
#include "store/ObjectFormat.h"

#include <functional>
#include <string>
#include <tl/expected.hpp>

namespace limereel::gateway {

/** The platform-specific part of a gateway. */
struct Adapter
{
    forward::Dialect dialect;
    store::ObjectFormat store;

    std::string configurationKind; ///< Kind of the object that holds the configuration.
    std::string configurationName;
    std::string serverKind; ///< Kind of the objects by which backend servers register.
    std::string crashKind; ///< Kind of the objects that hold stopped requests; written by gateways.
    std::string streamKind;    ///< Kind of the objects that tell who began streams; by gateways.
    std::string hallDrainKind; ///< Kind of the objects by which the operator drains halls.

    std::function<tl::expected<forward::SnapshotContent, std::string>(const nlohmann::json &)>
            readConfiguration;
    std::function<tl::expected<forward::ServerEntry, std::string>(const store::StoredObject &)>
            readServer;

    /** Returns the hall that the object drains. */
    std::function<tl::expected<std::string, std::string>(const store::StoredObject &)>
            readHallDrain;
};

} // namespace limereel::gateway
