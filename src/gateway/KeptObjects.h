/** \file
 * Objects read from the store, serialized for other boxes that ask this one.
 */
#pragma once

#include "store/ObjectFormat.h"
#include "store/ObjectHistory.h"

#include <vector>

namespace limereel::gateway {

/**
 * Returns \a objects with their contents as text.
 * \param answerBytes size of the answer that contained them.
 * \param relays whether other boxes may ask this one. If not, only the names of large objects are
 * kept, which saves serializing and storing contents that nobody asks for.
 */
std::vector<store::KeptObject> keptObjects(const std::vector<store::StoredObject> &objects,
                                           std::size_t answerBytes, bool relays);

} // namespace limereel::gateway
