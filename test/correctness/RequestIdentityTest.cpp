// Recognising a request that is sent again.

#include "forward/RequestIdentity.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace limereel::forward;

namespace {

const IdentityParts Usual{.organisation = "one",
                          .method = "POST",
                          .host = "calls.example",
                          .target = "/again/2f",
                          .body = "the body"};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestIdentityTest)

BOOST_AUTO_TEST_CASE(identity_samePartsElsewhere_isTheSame)
{
    const std::string body = "the body";
    IdentityParts again = Usual;
    again.body = body;
    BOOST_TEST((identityOf(again) == identityOf(Usual)));
    BOOST_TEST(shapeOf(Usual) == identityOf(Usual).shape);
}

BOOST_AUTO_TEST_CASE(identity_anyPartDiffers_isAnother)
{
    std::set<RequestIdentity> seen = {identityOf(Usual)};
    for (std::string_view IdentityParts::*part :
         {&IdentityParts::organisation, &IdentityParts::method, &IdentityParts::host,
          &IdentityParts::target, &IdentityParts::body}) {
        IdentityParts other = Usual;
        other.*part = "other";
        BOOST_TEST(seen.insert(identityOf(other)).second);
    }
}

BOOST_AUTO_TEST_CASE(identity_textMovesIntoTheNextPart_isAnother)
{
    IdentityParts left = Usual;
    left.target = "/again/2fthe";
    left.body = " body";
    IdentityParts right = Usual;
    right.target = "/again/2f";
    right.body = "the body";
    BOOST_TEST((identityOf(left) != identityOf(right)));
}

BOOST_AUTO_TEST_CASE(text_readBack_isTheSame)
{
    for (const RequestIdentity &identity :
         {identityOf(Usual), RequestIdentity{}, RequestIdentity{1, 0, ~0ULL}}) {
        BOOST_TEST((identityFrom(text(identity)) == identity));
    }
    for (const char *wrong : {"", "12", "g00000000000000000000000000000000000000000000000"}) {
        BOOST_TEST(!identityFrom(wrong).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
