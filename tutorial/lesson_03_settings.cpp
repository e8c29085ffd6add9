// Lesson 3: a tree of settings in which each level overrides only what it must, and that never goes
// back.

#include "config/Installed.h"
#include "config/Merge.h"
#include "config/Validate.h"

#include <iostream>

using namespace limereel::config;

int main()
{
    Update first{.revision = 1,
                 .id = "u1",
                 .author = "olga",
                 .at = "2026-01-01T00:00:00Z",
                 .changes = {}};
    first.changes = {{"/", "max-in-flight", "100"},
                     {"/accra", "max-in-flight", "40"},
                     {"/accra/hauler-a", "", ""}};
    const Tree tree = applyUpdate(emptyTree(), first);

    const Effective value = effective(tree, "/accra/hauler-a", "max-in-flight");
    std::cout << "hauler-a may run " << value.value << " at once, as set on " << value.origin
              << '\n';

    // What would break the rules is named, with what is allowed.
    Update wrong{.revision = 2,
                 .id = "u2",
                 .author = "olga",
                 .at = "2026-01-02T00:00:00Z",
                 .changes = {}};
    wrong.changes = {{"/accra/hauler-a", "max-in-flight", "60"}};
    const auto problems = validate(applyUpdate(tree, wrong));
    std::cout << text(problems.front()) << '\n';

    // A second operator at the same moment is told of both changes.
    const auto found = conflicts({{"/accra", "max-in-flight", "50"}}, {first});
    std::cout << found.size() << " conflict with " << found.front().by.author << '\n';

    // Whatever comes late, the newest stays in force.
    Installed installed;
    installed.offer(tree);
    const OfferResult late = installed.offer(emptyTree());
    std::cout << "an older tree is " << text(late) << '\n';
    return value.origin == "/accra" && problems.size() == 1 && found.size() == 1
                           && late == OfferResult::Older
                   ? 0
                   : 1;
}
