// Lesson 2: the owner of an engine bounds its load.
//
// Time is handed in, so a lapse needs no waiting.

#include "routing/PermitLedger.h"

#include <iostream>

using namespace limereel;
using routing::GrantResult;

int main()
{
    const kernel::Instant start{kernel::Duration(1s)};
    routing::PermitLedger ledger({.lease = 30s, .settle = 6s, .reservedShare = 0.25}, start, false);
    const routing::Bounds bounds{.bound = 4, .settlingBound = 3, .slots = 64, .unaccountedLoad = 0};
    constexpr std::uint64_t Router = 1;
    constexpr std::uint64_t Loud = 10;
    constexpr std::uint64_t Quiet = 11;

    // An organisation that surges takes what is idle, and no more: the last part is for others.
    std::uint64_t request = 0;
    while (ledger.ask({++request, Router, Loud}, bounds, start) == GrantResult::Granted) {
    }
    std::cout << "the loud one has " << ledger.inFlight() << " of 4 places\n";
    const bool quietServed =
            ledger.ask({++request, Router, Quiet}, bounds, start) == GrantResult::Granted;
    std::cout << "the quiet one is " << (quietServed ? "served" : "refused") << '\n';

    // The router dies. Its permits are leases, and end by themselves.
    const std::size_t freed = ledger.expire(start + 30s);
    std::cout << freed << " places came free\n";
    return quietServed && freed == 4 ? 0 : 1;
}
