#include "services/Answers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace {

std::string wholeSeconds(kernel::Duration duration)
{
    const auto rounded = (duration + kernel::Duration(1s) - kernel::Duration(1)) / 1s;
    return std::to_string(std::max<std::int64_t>(1, rounded));
}

} // namespace

Refusal refusalOf(outcome::ResultCode code, std::string message, kernel::Duration retryDelay)
{
    return {{code, outcome::info(code).ran, false}, std::move(message), retryDelay};
}

http::Fields resultFields(const std::string &requestId, const outcome::Verdict &verdict)
{
    return http::Fields()
            .with("X-Request-Id", requestId)
            .with("X-Result-Code", std::to_string(static_cast<int>(verdict.code)))
            .with("X-Ran", std::string(outcome::text(verdict.ran)));
}

http::Answer refusalAnswer(const std::string &requestId, const Refusal &refusal)
{
    http::Answer answer(outcome::info(refusal.verdict.code).httpStatus,
                        resultFields(requestId, refusal.verdict), refusalJson(requestId, refusal));
    answer.fields.add("Content-Type", "application/json");
    if (refusal.retryDelay > kernel::Duration::zero()) {
        answer.fields.add("Retry-After", wholeSeconds(refusal.retryDelay));
    }
    return answer;
}

std::string refusalJson(const std::string &requestId, const Refusal &refusal)
{
    const outcome::ResultInfo &info = outcome::info(refusal.verdict.code);
    nlohmann::json error = {{"code", static_cast<int>(info.code)},
                            {"type", info.name},
                            {"message", refusal.message},
                            {"remedy", info.remedy},
                            {"ran", outcome::text(refusal.verdict.ran)},
                            {"request_id", requestId}};
    if (refusal.retryDelay > kernel::Duration::zero()) {
        error["retry_after_ms"] = refusal.retryDelay / 1ms;
    }
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace);
}

} // namespace limereel::services
