/** \file
 * The content of the object in the platform's store by which a box tells which servers began the
 * streams of its callers.
 */
#pragma once

#include "peer/Messages.h"

#include <nlohmann/json.hpp>
#include <vector>

namespace limereel::gateway {

/** The content that tells of \a notes. */
nlohmann::json archiveContent(const std::vector<peer::StreamNote> &notes);

/** What archiveContent() wrote. Entries that can't be read are left out, as a stream that isn't
 * known isn't continued. Never throws, whatever the content. */
std::vector<peer::StreamNote> notesFromArchive(const nlohmann::json &content);

} // namespace limereel::gateway
