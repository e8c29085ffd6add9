/** \file
 * What makes a datagram one of ours: a version, and a message authentication code under a key from
 * the settings.
 *
 * Two keys are accepted so that a key can be changed without a stop: add the new one as second
 * everywhere, make it the first everywhere, drop the old one. A datagram that doesn't verify is
 * dropped and counted. A replayed one does no harm: see Messages.h.
 */
#pragma once

#include "peer/Messages.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::peer {

/** A shared secret of 32 bytes. */
using PeerKey = std::array<std::uint8_t, 32>;

/** The key written as 64 hexadecimal digits; nothing if \a text is not one. */
std::optional<PeerKey> peerKeyFromHex(std::string_view text);

/** The keys of a box's settings, which were checked when these were read. */
std::vector<PeerKey> peerKeysFrom(const std::vector<std::string> &texts);

/** Bytes that the envelope adds to a payload. */
inline constexpr std::size_t EnvelopeBytes = 17;

/** The datagram that carries \a payload, authenticated with \a key. */
Bytes seal(std::span<const std::uint8_t> payload, const PeerKey &key);

/** The payload of \a datagram if it verifies under one of \a keys. */
std::optional<Bytes> open(std::span<const std::uint8_t> datagram, std::span<const PeerKey> keys);

} // namespace limereel::peer
