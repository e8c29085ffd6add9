/** \file
 * A count of things that are under way, which is right however they end: also where a coroutine is
 * left by an exception.
 */
#pragma once

#include <cstddef>

namespace limereel::http {

/** Counts something for as long as it lasts, however that ends. */
class Counted
{
public:
    explicit Counted(std::size_t &counter)
        : counter_(counter)
    {
        ++counter_;
    }

    ~Counted() { --counter_; }
    Counted(const Counted &) = delete;
    Counted &operator=(const Counted &) = delete;

private:
    std::size_t &counter_;
};

} // namespace limereel::http
