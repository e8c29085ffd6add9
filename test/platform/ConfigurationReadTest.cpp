// What a configuration says where a list or a field is absent, null, empty or of another kind.

#include "platform/GatewayFixture.h"
#include "platform/Objects.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace limereel;
using nlohmann::json;

namespace {

const json Absent = json(json::value_t::discarded);

json configurationWith(const char *member, const json &value)
{
    json configuration = support::GatewayFixture::configuration(1);
    configuration.erase(member);
    if (!value.is_discarded()) {
        configuration[member] = value;
    }
    return configuration;
}

// Whether its requests need keys; nothing if it can't be read.
std::optional<bool> needsKeys(const json &organisations)
{
    const auto content = platform::readConfiguration(configurationWith("tenants", organisations));
    return content ? std::optional(forward::Snapshot(*content).needsKeys()) : std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationReadTest)

// Guards against an empty list that opens every route like one that isn't there.
BOOST_AUTO_TEST_CASE(organisations_absentOrEmptyOrUnreadable_areThreeThings)
{
    BOOST_TEST((needsKeys(Absent) == false));
    BOOST_TEST((needsKeys(json()) == false));
    BOOST_TEST((needsKeys(json::array()) == true));
    BOOST_TEST((needsKeys(json::array({{{"name", "one"}}})) == true));
    BOOST_TEST((needsKeys(json::array({{{"name", "one"}, {"api_keys", json::array()}}})) == true));
    BOOST_TEST((needsKeys(json::object()) == std::nullopt));
    BOOST_TEST((needsKeys("one") == std::nullopt));
    BOOST_TEST((needsKeys(false) == std::nullopt));
}

// Guards against a request without a key that an empty one in the list lets in.
BOOST_AUTO_TEST_CASE(organisationWithAnEmptyKey_requestWithoutOne_isOfNobody)
{
    const json organisations = json::array({{{"name", "one"}, {"api_keys", json::array({""})}}});
    const auto content = platform::readConfiguration(configurationWith("tenants", organisations));
    BOOST_REQUIRE(content.has_value());
    const forward::Snapshot snapshot(*content);
    BOOST_TEST((snapshot.organisation("") == nullptr));
}

// Guards against one route without a service that leaves a deployment without any configuration.
BOOST_FIXTURE_TEST_CASE(routeWithoutAService_otherRoutes_areServed, support::GatewayFixture)
{
    json spec = configuration(1);
    for (json &route : spec["routes"]) {
        if (route["path_prefix"] == "/again/") {
            route.erase("service");
        }
    }
    putConfiguration(spec);
    list(runner(0), "pool");
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(call(request("POST", "/once/x")).status == 200);
    const auto refused = call(request("POST", "/again/x"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(runner(0).runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
