#include "config/Merge.h"

namespace limereel::config {

namespace {

bool covers(const Change &whole, const Change &other)
{
    // A change of a node itself touches all of its keys and everything below it.
    return whole.key.empty()
           && (whole.path == other.path || other.path.starts_with(whole.path + "/"));
}

bool touchSame(const Change &first, const Change &second)
{
    const bool sameKey = first.path == second.path && first.key == second.key;
    return sameKey || covers(first, second) || covers(second, first);
}

} // namespace

std::vector<Conflict> conflicts(const std::vector<Change> &ours, const std::vector<Update> &since)
{
    std::vector<Conflict> found;
    for (const Update &update : since) {
        for (const Change &theirs : update.changes) {
            for (const Change &change : ours) {
                if (touchSame(change, theirs)) {
                    found.push_back({change, theirs, update});
                }
            }
        }
    }
    return found;
}

} // namespace limereel::config
