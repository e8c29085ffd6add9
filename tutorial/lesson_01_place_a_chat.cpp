// Lesson 1: where should a chat's next turn run?
//
// Every router works out the same first engines for a chat, without asking anybody. A chat that an
// engine has served before goes back to it while that engine is within the bound.

#include "routing/ChatIndex.h"
#include "routing/LoadBound.h"
#include "routing/Placement.h"

#include <iostream>

using namespace limereel;

int main()
{
    // Eight engines, the load of each as its owner last said.
    std::vector<routing::Candidate> pool;
    for (std::uint32_t number = 0; number < 8; ++number) {
        const kernel::BackendId engine("engine-" + std::to_string(number));
        pool.push_back({.engine = engine.hash(), .incarnation = 1, .inFlight = number % 4});
    }

    // The key mixes in organisation and model: two organisations never share a prefix.
    const kernel::ChatKey chat = kernel::chatKey(kernel::OrganisationId("/accra/hauler-a"),
                                                 kernel::ModelId("small"), "chat-17");

    // The bound: c times the mean load, rounded up.
    routing::PoolView view;
    for (const auto &engine : pool) {
        view.inFlight += engine.inFlight;
    }
    view.engines = pool.size();
    view.bound = routing::loadBound(1.5, view.inFlight, view.engines);

    // A cold chat: the engines to ask, best first.
    const auto candidates = routing::candidatesFor(chat, pool, 5);
    const auto cold = routing::placeChat(candidates, std::nullopt, pool, view);
    std::cout << "cold: " << routing::text(cold.front().reason) << '\n';

    // It was served; the index remembers by whom, and by which incarnation.
    routing::ChatIndex index(65536);
    index.put(chat, {cold.front().engine, 1});
    const auto warm = routing::placeChat(candidates, index.find(chat), pool, view);
    std::cout << "warm: " << routing::text(warm.front().reason) << '\n';

    // The engine came back empty: what the index says of its earlier incarnation counts for
    // nothing.
    index.put(chat, {cold.front().engine, 0});
    const auto again = routing::placeChat(candidates, index.find(chat), pool, view);
    std::cout << "after a restart: " << routing::text(again.front().reason) << '\n';
    return warm.front().reason == routing::Reason::Holder
                           && again.front().reason != routing::Reason::Holder
                   ? 0
                   : 1;
}
