/** \file
 * Bounds the bytes that a box holds of requests, or of answers, over all its connections.
 *
 * Limits on one message don't bound a box: as many as it has connections may come at once, and
 * clients that never finish theirs keep what they have sent. When there is no room, a message that
 * is still being read gives way.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace limereel::http {

/** Which holder gives way first. */
enum class GivesWay : std::uint8_t {
    Oldest, ///< A message that comes as fast as it can be read is younger than those that stopped.
    Largest ///< A message without an end becomes the largest, however fast it comes.
};

/** The budget. Outlives none of its shares. Used from one thread. */
class ByteBudget
{
public:
    class Share;

    explicit ByteBudget(std::size_t limit, GivesWay first = GivesWay::Oldest)
        : limit_(limit)
        , first_(first)
    {
    }

    /** Bytes that may be held; a holder that is alone may hold more. */
    std::size_t limit() const { return limit_; }

    /** Bytes that are held. */
    std::size_t held() const { return held_; }

    /** Holders that had to give way so far. */
    std::uint64_t gaveWay() const { return gaveWay_; }

private:
    bool hasRoom(std::size_t more, std::size_t own) const;
    void makeRoom(std::size_t more, const Share &asker);
    Share *nextToGiveWay(std::size_t more, const Share &asker) const;

    std::size_t limit_;
    GivesWay first_;
    std::size_t held_ = 0;
    std::uint64_t gaveWay_ = 0;
    std::list<Share *> mayGiveWay_; ///< The oldest first.
};

/** What one holder holds. Given back with it. */
class ByteBudget::Share
{
public:
    /** \param giveWay called at most once, when another holder needs the room. What is held then
     * has to be let go soon; it no longer counts. */
    Share(std::shared_ptr<ByteBudget> budget, std::function<void()> giveWay);
    ~Share();
    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /** Holds \a bytes in place of what it held. \return false if there is no room for them, or if
     * it has given way; what it held before then still counts. */
    bool resize(std::size_t bytes);

    /** From now on it never gives way. */
    void keep();

    /** Whether it has given way. */
    bool gaveWay() const { return gaveWay_; }

private:
    friend class ByteBudget;

    std::shared_ptr<ByteBudget> budget_;
    std::function<void()> giveWay_; ///< Empty: it doesn't give way, or has.
    std::size_t bytes_ = 0;
    bool gaveWay_ = false;
    std::list<Share *>::iterator place_; ///< The list's end: it isn't in it.
};

} // namespace limereel::http
