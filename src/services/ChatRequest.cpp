#include "services/ChatRequest.h"

#include "http/JsonBody.h"
#include "kernel/decisions/Name.h"

#include <nlohmann/json.hpp>

namespace limereel::services {

namespace {

using nlohmann::json;

constexpr std::size_t MaxChatIdBytes = 256;
constexpr std::int64_t MaxTokens = 1000000;

std::optional<std::string> problemOf(const json &body)
{
    if (!body.is_object()) {
        return "the body must be a JSON object";
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return "'model' must be a string";
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return "'messages' must be an array with at least one message";
    }
    for (const json &message : body["messages"]) {
        const bool wellFormed = message.is_object() && message.contains("role")
                                && message["role"].is_string() && message.contains("content");
        if (!wellFormed) {
            return "each of 'messages' must be an object with 'role' and 'content'";
        }
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return "'stream' must be true or false";
    }
    if (body.contains("max_tokens")) {
        const json &tokens = body["max_tokens"];
        if (!tokens.is_number_integer() || tokens < 1 || tokens > MaxTokens) {
            return "'max_tokens' must be an integer from 1 to " + std::to_string(MaxTokens);
        }
    }
    if (body.contains("prompt_cache_key") && !body["prompt_cache_key"].is_string()) {
        return "'prompt_cache_key' must be a string";
    }
    return std::nullopt;
}

// If the caller names no chat, the messages up to and including the first user message identify it:
// later turns of the chat repeat them.
std::string chatIdFromMessages(const json &messages)
{
    std::string beginning;
    for (const json &message : messages) {
        beginning += message.dump();
        if (message["role"] == "user") {
            break;
        }
    }
    return "begins-" + std::to_string(kernel::hashOf(beginning));
}

std::string chatIdOf(const http::Request &request, const json &body)
{
    if (const auto field = request.fields.get("X-Chat-Id"); !field.empty()) {
        return std::string(field);
    }
    if (body.contains("prompt_cache_key")) {
        return body["prompt_cache_key"].get<std::string>();
    }
    return chatIdFromMessages(body["messages"]);
}

} // namespace

tl::expected<ChatRequest, std::string> chatRequestFrom(const http::Request &request)
{
    json body = http::parseBody(request.body);
    if (const auto problem = problemOf(body)) {
        return tl::unexpected(*problem);
    }
    const std::string_view repeatable = request.fields.get("X-Repeatable");
    if (!repeatable.empty() && repeatable != "no" && repeatable != "yes") {
        return tl::unexpected<std::string>("the field X-Repeatable must be yes or no");
    }
    ChatRequest chat{.model = body["model"].get<std::string>(),
                     .chat = chatIdOf(request, body),
                     .stream = body.value("stream", false),
                     .repeatable = repeatable != "no",
                     .engineBody = {}};
    if (chat.chat.empty() || chat.chat.size() > MaxChatIdBytes) {
        return tl::unexpected("the chat's id must have 1 to " + std::to_string(MaxChatIdBytes)
                              + " bytes");
    }
    body["stream"] = true;
    chat.engineBody = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return chat;
}

} // namespace limereel::services
