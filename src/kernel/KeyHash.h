/** \file
 * Hashes of API and operators' keys: only these are kept, never a key itself.
 */
#pragma once

#include <string>
#include <string_view>

namespace limereel::kernel {

/** The hash of \a key as 64 hexadecimal digits (BLAKE2b-256). Keys are long and random, so no salt
 * is needed. */
std::string keyHash(std::string_view key);

/** A new random key, 64 hexadecimal digits. */
std::string newKey();

/** The key of an "Authorization: Bearer KEY" field; empty if there is none. */
std::string_view bearerKey(std::string_view field);

} // namespace limereel::kernel
