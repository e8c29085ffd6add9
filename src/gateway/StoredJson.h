/** \file
 * Reads the JSON of the store's answers for one kind of objects: large ones in slices, between
 * which the event loop goes on, and spoilt ones with their unreadable parts replaced.
 */
#pragma once

#include "http/JsonRepair.h"
#include "services/Context.h"
#include "store/ObjectFormat.h"
#include "store/ObjectHistory.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::gateway {

/** Requests wait while objects are processed. At an estimated tens of microseconds per object, this
 * many delay requests by about 10 ms on a box with an eighth of a core. */
inline constexpr std::size_t MaxObjectsPerTurn = 64;

/** Lets other handlers of the event loop run: reading, applying and storing a large answer are
 * split over several turns of the loop. */
boost::asio::awaitable<void> yieldToLoop();

/** The reader of one kind. */
class StoredJson
{
public:
    StoredJson(services::Context &context, std::string kind)
        : context_(context)
        , kind_(std::move(kind))
    {
    }

    /** Reads \a text, which outlives the call. An object that another writer has spoilt costs no
     * other. \return a discarded value if nothing can be read. */
    boost::asio::awaitable<nlohmann::json> read(const std::string &text);

    /** The objects of \a kept, which outlives the call. */
    boost::asio::awaitable<std::vector<store::StoredObject>>
    readKept(const std::vector<store::KeptObject> &kept);

private:
    boost::asio::awaitable<nlohmann::json> readSlices(std::string_view text);
    void noteRepaired(const http::RepairedJson &repaired);

    services::Context &context_;
    std::string kind_;
    std::size_t replacedParts_ = 0; ///< Of the last answer that had to be repaired.
};

} // namespace limereel::gateway
