/** \file
 * A request that a box sends through another box, because it reaches none of the request's servers
 * itself. It travels over HTTP at the peer port, in the authenticated envelope of the datagrams;
 * its answer is a plain HTTP answer.
 */
#pragma once

#include "forward/StreamOrigin.h"
#include "http/Message.h"
#include "peer/Messages.h"
#include "peer/SendsMade.h"

#include <compare>
#include <optional>
#include <span>
#include <string>

namespace limereel::peer {

/** The request. The other box admits it anew, by its own configuration, which must be the same
 * version as the one that admitted it at the box that asks. */
struct DetourRequest
{
    std::string from;                         ///< Name of the box that asks, for the log.
    std::uint32_t leftMs = 0;                 ///< Until the caller's deadline.
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller has.
    /** Which server began the stream whose events the caller has; nothing: it has none, or the box
     * that asks is of an earlier version. */
    std::optional<forward::StreamOrigin> origin;
    http::Request request; ///< As the caller sent it.
    /** Sends before this one; nothing: the box that asks is of an earlier version and reads no
     * answer about sends. */
    std::optional<SendsMade> made = {};
    /** Of the configuration that admitted it; nothing: the box that asks is of an earlier version,
     * and takes what the other box's configuration says. */
    std::optional<std::uint64_t> configVersion = {};
};

/** The MessagePack form. */
Bytes encode(const DetourRequest &request);

/** The request in \a bytes; nothing if there is none. Never throws, whatever the bytes. */
std::optional<DetourRequest> decodeDetourRequest(std::span<const std::uint8_t> bytes);

} // namespace limereel::peer
