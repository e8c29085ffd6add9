#include "store/ListCursor.h"

namespace limereel::store {

namespace {

// Of one page; one odd name among sound ones needs one step.
constexpr int MaxStepsBack = 8;

} // namespace

ListProgress ListCursor::take(ObjectPage &page)
{
    lastPage_.clear();
    for (const StoredObject &object : page.objects) {
        lastPage_.push_back(object.name);
    }
    if (!lastPage_.empty()) {
        after_ = lastPage_.back();
    }
    stepsBack_ = 0;
    std::erase_if(page.objects, [this](const StoredObject &object) {
        const bool isNew = names_.insert(object.name).second;
        return !isNew;
    });
    if (!page.more) {
        return ListProgress::Complete;
    }
    return page.objects.empty() ? ListProgress::Stuck : ListProgress::Reading;
}

ListProgress ListCursor::refuse()
{
    if (lastPage_.size() <= 1 || stepsBack_ == MaxStepsBack) {
        return ListProgress::Stuck;
    }
    ++stepsBack_;
    lastPage_.pop_back();
    after_ = lastPage_.back();
    return ListProgress::Reading;
}

} // namespace limereel::store
