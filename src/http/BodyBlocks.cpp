#include "http/BodyBlocks.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace limereel::http {

char *BodyBlocks::next()
{
    if (blocks_.empty() || room() == 0) {
        const std::size_t before = blocks_.size() * BlockBytes;
        const std::size_t left = expected_ > before ? expected_ - before : BlockBytes;
        blocks_.emplace_back(std::min(left, BlockBytes), '\0');
        filled_ = 0;
    }
    return blocks_.back().data() + filled_;
}

void BodyBlocks::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        char *const place = next();
        const std::string_view piece = bytes.substr(0, room());
        std::ranges::copy(piece, place);
        noteFilled(piece.size());
        bytes.remove_prefix(piece.size());
    }
}

std::size_t BodyBlocks::held() const
{
    return std::accumulate(
            blocks_.begin(), blocks_.end(), std::size_t{0},
            [](std::size_t bytes, const std::string &block) { return bytes + block.size(); });
}

std::string BodyBlocks::join()
{
    if (blocks_.empty()) {
        return {};
    }
    blocks_.back().resize(filled_);
    std::vector<std::string> blocks = std::exchange(blocks_, {});
    std::string body = std::move(blocks.front());
    body.reserve(body.size() * blocks.size());
    for (std::size_t place = 1; place < blocks.size(); ++place) {
        body += blocks[place];
    }
    return body;
}

} // namespace limereel::http
