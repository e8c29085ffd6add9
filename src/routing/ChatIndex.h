/** \file
 * Index of the engine that last served each chat: a bounded map from a chat's key to the engine
 * that holds its prefix, kept by the owner of the chat's first candidate.
 *
 * An entry is valid only for the incarnation of the engine that served the chat: an engine that has
 * restarted holds no prefixes. A new entry evicts the least recently used one, so the memory of a
 * box doesn't grow with the number of chats; an evicted chat is placed in rendezvous order again.
 */
#pragma once

#include "kernel/decisions/Name.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace limereel::routing {

/** The engine that last served a chat, and its incarnation at that time. */
struct Holder
{
    std::uint64_t engine = 0;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Holder &) const = default;
};

/** A least-recently-used index of at most \a capacity chats. */
class ChatIndex
{
public:
    explicit ChatIndex(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** The holder of \a chat, which becomes the most recently used entry. */
    std::optional<Holder> find(kernel::ChatKey chat);

    void put(kernel::ChatKey chat, Holder holder);
    void erase(kernel::ChatKey chat);
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        kernel::ChatKey chat;
        Holder holder;
    };

    std::size_t capacity_;
    std::list<Entry> byUse_; ///< Most recently used first.
    std::unordered_map<kernel::ChatKey, std::list<Entry>::iterator> entries_;
};

} // namespace limereel::routing
