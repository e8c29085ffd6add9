/** \file
 * Objects as they were read from the store, put by for passing on to other boxes.
 */
#pragma once

#include "store/ObjectFormat.h"
#include "store/ObjectHistory.h"

#include <vector>

namespace limereel::gateway {

/** The \a objects with their contents as text. Of answers with large objects (\a answerBytes in
 * all) only the names are kept: to write one of 857 kB takes a box with an eighth of a core some
 * 50 ms, and to pass it on takes a slow link too long. */
std::vector<store::KeptObject> keptObjects(const std::vector<store::StoredObject> &objects,
                                           std::size_t answerBytes);

} // namespace limereel::gateway
