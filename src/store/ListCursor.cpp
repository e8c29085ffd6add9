#include "store/ListCursor.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace limereel::store {

namespace {

// From the last name of a page of 500, the first is reached in six steps.
constexpr std::size_t StrideGrowth = 4;
constexpr int FailuresBeforeStep = 2;
// By which a store rejects a target in any form: no such target, too long, head too large.
constexpr std::array<int, 3> Rejections = {400, 414, 431};
constexpr std::array<int, 2> BusySigns = {429, 503};

// Characters that no store, proxy or parser of targets can take for anything but themselves, in the
// order of bytes.
constexpr std::string_view PlainCharacters =
        "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";

bool isPlain(std::string_view name)
{
    return name.find_first_not_of(PlainCharacters) == std::string_view::npos;
}

// Empty if there is none.
std::string_view plainCharacterBehind(char character)
{
    const auto byte = [](char one) { return static_cast<unsigned char>(one); };
    const auto *const found = std::ranges::upper_bound(PlainCharacters, byte(character), {}, byte);
    return found == PlainCharacters.end() ? std::string_view() : std::string_view(found, 1);
}

} // namespace

PageFault pageFault(int status)
{
    if (std::ranges::find(Rejections, status) != Rejections.end()) {
        return PageFault::Rejected;
    }
    const bool busy = std::ranges::find(BusySigns, status) != BusySigns.end();
    return busy ? PageFault::Busy : PageFault::Failed;
}

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
        return mayLack_ ? ListProgress::Partial : ListProgress::Complete;
    }
    if (page.objects.empty()) {
        return stepBack();
    }
    lastPage_ = std::move(names);
    end_ = lastPage_.back();
    after_ = end_;
    leapt_ = false;
    stride_ = 1;
    failures_ = 0;
    return ListProgress::Reading;
}

bool ListCursor::blamesName(PageFault fault) const
{
    return !after_.empty() && (fault == PageFault::Rejected || !isPlain(after_));
}

ListProgress ListCursor::fail(PageFault fault)
{
    if (blamesName(fault)) {
        return stepBack();
    }
    if (after_.empty() || fault == PageFault::Busy || ++failures_ < FailuresBeforeStep) {
        return ListProgress::Reading;
    }
    return stepBack();
}

ListProgress ListCursor::stepBack()
{
    if (lastPage_.size() <= 1) {
        return leap();
    }
    const std::size_t step = std::min(stride_, lastPage_.size() - 1);
    stride_ *= StrideGrowth;
    lastPage_.resize(lastPage_.size() - step);
    after_ = lastPage_.back();
    return ListProgress::Reading;
}

ListProgress ListCursor::leap()
{
    const auto behind = leapt_ ? std::nullopt : plainNameBehind(end_);
    if (!behind) {
        return ListProgress::Partial;
    }
    leapt_ = true;
    mayLack_ = true;
    after_ = *behind;
    return ListProgress::Reading;
}

std::optional<std::string> plainNameBehind(const std::string &name)
{
    std::size_t place = name.find_first_not_of(PlainCharacters);
    if (place == std::string::npos) {
        return std::nullopt;
    }
    while (plainCharacterBehind(name[place]).empty()) {
        if (place == 0) {
            return std::nullopt;
        }
        --place;
    }
    return name.substr(0, place).append(plainCharacterBehind(name[place]));
}

} // namespace limereel::store
