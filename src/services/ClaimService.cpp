#include "services/ClaimService.h"

#include "kernel/KeyHash.h"
#include "outcome/Claim.h"
#include "services/PlatformService.h"
#include "store/Backoff.h"

#include <boost/asio.hpp>
#include <ctime>
#include <nlohmann/json.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using outcome::Claim;
using outcome::ClaimStep;
using outcome::ResultCode;
using outcome::StoreAnswer;

namespace {

constexpr int ClaimTries = 4;

// The name of the claim's object. It is hashed, so that it reveals neither the key nor its owner.
std::string objectName(const std::string &organisation, const std::string &service,
                       const std::string &key)
{
    return "claims/" + kernel::keyHash(organisation + '\n' + service + '\n' + key);
}

std::optional<std::string> holderIn(const StoreResult &result)
{
    const auto object = nlohmann::json::parse(result.value, nullptr, false);
    if (!object.is_object() || !object.contains("attempt") || !object["attempt"].is_string()) {
        return std::nullopt;
    }
    return object["attempt"].get<std::string>();
}

} // namespace

asio::awaitable<tl::expected<HeldClaim, ResultCode>> ClaimService::claim(std::string organisation,
                                                                         std::string service,
                                                                         std::string key,
                                                                         std::string attempt)
{
    auto &platform = context_.kernel.find<PlatformService>("platform");
    HeldClaim held{objectName(organisation, service, key), 0};
    const std::string value =
            nlohmann::json{{"attempt", attempt}, {"at", std::time(nullptr)}}.dump();
    Claim claim(attempt, ClaimTries);
    ClaimStep step = claim.begin();
    while (step == ClaimStep::Create || step == ClaimStep::Read) {
        if (step == ClaimStep::Create) {
            const StoreResult result = co_await platform.put(held.object, 0, value);
            held.version = result.version;
            step = claim.onCreate(result.answer);
        } else {
            context_.counters.add("claim_reads");
            const StoreResult result = co_await platform.get(held.object);
            held.version = result.version;
            step = claim.onRead(result.answer, holderIn(result));
        }
    }
    if (step == ClaimStep::Refuse) {
        context_.counters.add("claims",
                              {{"result", std::string(outcome::info(claim.refusal()).name)}});
        co_return tl::unexpected(claim.refusal());
    }
    context_.counters.add("claims", {{"result", "held"}});
    co_return held;
}

asio::awaitable<void> ClaimService::release(HeldClaim claim)
{
    if (claim.version == 0) {
        co_return;
    }
    const StoreResult result = co_await context_.kernel.find<PlatformService>("platform")
                                       .remove(claim.object, claim.version);
    context_.counters.add("claims_released",
                          {{"done", result.answer == StoreAnswer::Done ? "yes" : "no"}});
}

} // namespace limereel::services
