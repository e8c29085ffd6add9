/** \file
 * A body of unknown length as it comes, in blocks of one size: a text that grows by doubling leaves
 * freed memory of all sizes behind, which many bodies at once can't use.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::http {

/** The blocks of one body. */
class BodyBlocks
{
public:
    static constexpr std::size_t BlockBytes = std::size_t{16} * 1024;

    /** \param expected bytes of the whole body if known, else the size of a block. */
    explicit BodyBlocks(std::size_t expected = BlockBytes)
        : expected_(expected)
    {
    }

    /** Where the next bytes go; there is room for at least one. */
    char *next();

    /** The room at next(). */
    std::size_t room() const { return blocks_.back().size() - filled_; }

    /** \a bytes have been put to next(). */
    void noteFilled(std::size_t bytes) { filled_ += bytes; }

    /** Puts \a bytes at the end. */
    void append(std::string_view bytes);

    /** Bytes of memory that the blocks take. */
    std::size_t held() const;

    /** The whole body; the blocks are empty then. */
    std::string join();

private:
    std::size_t expected_;
    std::vector<std::string> blocks_;
    std::size_t filled_ = 0; ///< Of the last block.
};

} // namespace limereel::http
