#include "store/ListCursor.h"

#include <algorithm>
#include <string_view>

namespace limereel::store {

namespace {

// From a name in the middle of many odd ones, a page of 500 needs five steps.
constexpr std::size_t StrideGrowth = 4;
constexpr int FailuresBeforeStep = 2;

// Characters that no store, proxy or parser of targets can take for anything but themselves.
bool isPlain(char character)
{
    const bool letter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    const bool mark = std::string_view("-._~").find(character) != std::string_view::npos;
    return letter || digit || mark;
}

bool isPlain(const std::string &name)
{
    return std::ranges::all_of(name, [](char character) { return isPlain(character); });
}

} // namespace

ListProgress ListCursor::take(ObjectPage &page)
{
    std::vector<std::string> names;
    for (const StoredObject &object : page.objects) {
        names.push_back(object.name);
    }
    std::erase_if(page.objects, [this](const StoredObject &object) {
        const bool isNew = names_.insert(object.name).second;
        return !isNew;
    });
    if (!page.more) {
        return ListProgress::Complete;
    }
    if (page.objects.empty()) {
        return stepBack();
    }
    lastPage_ = std::move(names);
    after_ = lastPage_.back();
    stride_ = 1;
    failures_ = 0;
    return ListProgress::Reading;
}

bool ListCursor::blamesName(PageFault fault) const
{
    return fault == PageFault::Rejected || !isPlain(after_);
}

ListProgress ListCursor::fail(PageFault fault)
{
    if (blamesName(fault)) {
        return stepBack();
    }
    if (fault == PageFault::Busy || ++failures_ < FailuresBeforeStep) {
        return ListProgress::Reading;
    }
    return stepBack();
}

ListProgress ListCursor::stepBack()
{
    if (lastPage_.size() <= 1) {
        return ListProgress::Partial;
    }
    const std::size_t step = std::min(stride_, lastPage_.size() - 1);
    stride_ *= StrideGrowth;
    lastPage_.resize(lastPage_.size() - step);
    after_ = lastPage_.back();
    return ListProgress::Reading;
}

} // namespace limereel::store
