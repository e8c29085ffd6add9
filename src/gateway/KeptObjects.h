/** \file
 * Objects as they were read from the store, put by for passing on to other boxes.
 */
#pragma once

#include "store/ObjectFormat.h"
#include "store/ObjectHistory.h"

#include <vector>

namespace limereel::gateway {

/**
 * The \a objects with their contents as text.
 * \param answerBytes of the answer that brought them.
 * \param relays whether others may ask this box. Else only the names of large objects are kept: a
 * box that nobody asks needn't write and hold what it read.
 */
std::vector<store::KeptObject> keptObjects(const std::vector<store::StoredObject> &objects,
                                           std::size_t answerBytes, bool relays);

} // namespace limereel::gateway
