// By what a request that crashes servers is recognised: which parts of its prompt count, that each
// counts for itself, and that nobody can make up a part that passes for another one.

#include "forward/CrashFeatures.h"
#include "kernel/decisions/Name.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::forward;

namespace {

class CrashFeaturesFixture
{
public:
    /** The features of a request with these parts in its prompt. */
    std::vector<CrashFeature> featuresOf(const std::vector<std::string> &ids,
                                         std::string_view organisation = "one")
    {
        prompt.parts.clear();
        for (const std::string &id : ids) {
            prompt.parts.push_back({kernel::hashOf(id), 100, id});
        }
        return RequestFeatures(partsOf(organisation), &prompt).all();
    }

    static IdentityParts partsOf(std::string_view organisation)
    {
        return {.organisation = organisation,
                .method = "POST",
                .host = "calls.example",
                .target = "/stream/x",
                .body = "body"};
    }

    static bool holds(const std::vector<CrashFeature> &features, const RequestIdentity &identity)
    {
        return std::ranges::find(features, identity, &CrashFeature::identity) != features.end();
    }

    Prompt prompt;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashFeaturesTest, CrashFeaturesFixture)

BOOST_AUTO_TEST_CASE(prompt_noneOrOnlyItsOwnPart_wholeRequestIsTheOnlyFeature)
{
    BOOST_TEST(featuresOf({}).size() == 1U);
    BOOST_TEST(featuresOf({"own"}).size() == 1U);
    BOOST_TEST(RequestFeatures(partsOf("one"), nullptr).all().size() == 1U);
    BOOST_TEST((featuresOf({"own"}).front().identity == identityOf(partsOf("one"))));
}

BOOST_AUTO_TEST_CASE(part_standsAnywhereButLast_hasTheSameIdentity)
{
    for (const auto &ids : std::vector<std::vector<std::string>>{
                 {"bad", "own"}, {"aa", "bad", "own"}, {"bad", "aa", "bb", "own"}}) {
        BOOST_TEST(holds(featuresOf(ids), partIdentityOf("", "bad")));
        BOOST_TEST(holds(featuresOf(ids), partIdentityOf("one", "bad")));
        BOOST_TEST(!holds(featuresOf(ids), partIdentityOf("two", "bad")));
    }
    BOOST_TEST(!holds(featuresOf({"aa", "bad"}), partIdentityOf("", "bad")));
}

BOOST_AUTO_TEST_CASE(part_comesTwice_isOneFeature)
{
    BOOST_TEST(featuresOf({"aa", "aa", "own"}).size() == 3U);
    // It is last, too, and counts for its earlier place.
    BOOST_TEST(holds(featuresOf({"aa", "aa"}), partIdentityOf("", "aa")));
}

BOOST_AUTO_TEST_CASE(parts_moreThanAreLookedAt_theFirstCount)
{
    std::vector<std::string> ids;
    for (int number = 0; number < 10'000; ++number) {
        ids.push_back(std::to_string(number));
    }
    const std::vector<CrashFeature> features = featuresOf(ids);
    BOOST_TEST(features.size() == 1U + 2U * 64U);
    BOOST_TEST(holds(features, partIdentityOf("", "63")));
    BOOST_TEST(!holds(features, partIdentityOf("", "64")));
}

BOOST_AUTO_TEST_CASE(parts_otherTextsThatJoinToTheSame_haveOtherIdentities)
{
    BOOST_TEST((partIdentityOf("ab", "c") != partIdentityOf("a", "bc")));
    BOOST_TEST((partIdentityOf("", "a") != partIdentityOf("a", "")));
    BOOST_TEST((partIdentityOf("", "") != partIdentityOf("", "0")));
}

BOOST_AUTO_TEST_CASE(anonymousCaller_partCountsOnce)
{
    BOOST_TEST(featuresOf({"aa", "own"}, "").size() == 2U);
}

BOOST_AUTO_TEST_CASE(shapes_fewAreWanted_onlyTheseAreComputed)
{
    featuresOf({"aa", "bb", "own"});
    const std::uint64_t wanted = partIdentityOf("", "bb").shape;
    const auto found =
            RequestFeatures(partsOf("one"), &prompt).where([wanted](std::uint64_t shape) {
                return shape == wanted;
            });
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST((found.front().identity == partIdentityOf("", "bb")));
    BOOST_TEST(found.front().place == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
