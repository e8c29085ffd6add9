#include "store/ListCursor.h"

namespace limereel::store {

ListProgress ListCursor::take(ObjectPage &page)
{
    if (!page.objects.empty()) {
        after_ = page.objects.back().name;
    }
    std::erase_if(page.objects, [this](const StoredObject &object) {
        const bool isNew = names_.insert(object.name).second;
        return !isNew;
    });
    if (!page.more) {
        return ListProgress::Complete;
    }
    return page.objects.empty() ? ListProgress::Stuck : ListProgress::Reading;
}

} // namespace limereel::store
