/** \file
 * An opaque token that a caller may send back with a chat's next turn. It names the engine that
 * served the last turn, so that any router finds that engine without keeping state.
 *
 * The token is a hint and grants no access. It is authenticated together with the chat's key, so
 * one organisation's token is of no use to another. A token that doesn't verify, or that names an
 * engine that has restarted since, is ignored.
 */
#pragma once

#include "kernel/decisions/Name.h"
#include "peer/Envelope.h"
#include "routing/ChatIndex.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace limereel::routing {

/** The token for \a chat, last served by \a holder. */
std::string makeChatToken(kernel::ChatKey chat, const Holder &holder, const peer::PeerKey &key);

/** The holder named by \a token; nothing unless it was made for \a chat with one of \a keys. */
std::optional<Holder> readChatToken(std::string_view token, kernel::ChatKey chat,
                                    std::span<const peer::PeerKey> keys);

} // namespace limereel::routing
