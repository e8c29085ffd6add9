// Fields that a caller tries to take away from the request that is passed on, or to forge: those of
// the platform reach the backend server once, with the system's value.

#include "http/EndToEnd.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

const std::vector<std::string> ForgedNames = {"X-Tenant", "x-expect-instance", "X-Private"};

/** A gateway whose callers send Connection fields of their own. */
struct ForgedFields : support::GatewayFixture
{
    /** The head that reaches the server of a request whose Connection fields are these. */
    http::Fields passedOn(const std::string &connection, const std::string &another)
    {
        http::Fields fields;
        const std::string id = idOf(++requests_);
        fields.add("X-Attempt-Id", id);
        for (const std::string &name : ForgedNames) {
            fields.add(name, "forged");
        }
        fields.add("Connection", connection);
        if (!another.empty()) {
            fields.add("Connection", another);
        }
        BOOST_TEST(call(promptRequest("/stream/x", fields)).status == 200);
        for (const auto *server : {&runner(0), &runner(1)}) {
            for (const standin::RunnerRecord &record : server->records()) {
                if (record.id == id) {
                    server_ = server->name();
                    return record.request.fields;
                }
            }
        }
        return {};
    }

    /** Sends a request with one or two Connection fields and checks what reaches the server. */
    void checkForm(const std::string &connection, const std::string &another = {})
    {
        BOOST_TEST_CONTEXT(connection << " | " << another)
        {
            checkOwn(passedOn(connection, another));
        }
    }

    void checkOwn(const http::Fields &passed) const
    {
        checkOnce(passed, "X-Tenant", "one");
        checkOnce(passed, "X-Expect-Instance", server_);
        checkOnce(passed, "X-Attempt-Id", idOf(requests_));
        checkOnce(passed, "X-Model", "m");
        checkOnce(passed, "X-Token-Count", "300,20");
        checkOnce(passed, "X-Prompt-Prefix", "aa:100,bb:100,cc:100");
        checkOnce(passed, "Host", "calls.example");
        BOOST_TEST(passed.all("X-Deadline-Ms").size() == 1U);
        BOOST_TEST(passed.all("X-Api-Key").empty());
    }

    static void checkOnce(const http::Fields &passed, const std::string &name,
                          const std::string &value)
    {
        const std::vector<std::string_view> values = passed.all(name);
        BOOST_TEST(values.size() == 1U, name << ": " << values.size() << " fields");
        BOOST_TEST((!values.empty() && values.front() == value), name);
    }

private:
    static std::string idOf(int number) { return std::to_string(number) + "f"; }

    int requests_ = 0;
    std::string server_;
};

const std::vector<std::string> PlatformNames = {
        "X-Tenant", "X-Expect-Instance", "X-Deadline-Ms", "X-Attempt-Id",    "X-Api-Key",
        "X-Model",  "X-Token-Count",     "Host",          "X-Prompt-Prefix", "X-Urgency-Class"};

std::string inCase(const std::string &name, bool upper)
{
    std::string changed = name;
    std::ranges::transform(changed, changed.begin(), [upper](unsigned char letter) {
        return static_cast<char>(upper ? std::toupper(letter) : std::tolower(letter));
    });
    return changed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ForgedFieldsTest)

// Failure: a caller's Connection field that named X-Tenant took the system's own field off the
// request that was passed on, and so its organisation, its server or its deadline.
BOOST_FIXTURE_TEST_CASE(connectionField_namesFieldsOfThePlatform_theyReachTheServerAllTheSame,
                        ForgedFields)
{
    startReady();
    for (const std::string &name : PlatformNames) {
        for (const bool upper : {false, true}) {
            const std::string listed = inCase(name, upper);
            checkForm(listed);
            checkForm(listed + ", keep-alive");
            checkForm(listed + "\t,close");
            checkForm(listed + " , X-Private ,");
            checkForm("keep-alive", listed);
        }
    }
}

// Failure: a server that listed its signature in its Connection field took it off its answer.
BOOST_AUTO_TEST_CASE(endToEnd_answerListsFieldsOfThePlatform_theyArePassedOn)
{
    const auto &dialect = platform::adapter().dialect;
    const http::Fields answer = http::Fields()
                                        .with("Connection", "close, X-Response-Stamp, X-Private")
                                        .with("X-Response-Stamp", "stamp")
                                        .with("X-Attempt-Id", "a1")
                                        .with("X-Private", "private");
    const http::Fields passed = http::endToEnd(answer, dialect.ownFields);
    BOOST_TEST(passed.get("X-Response-Stamp") == "stamp");
    BOOST_TEST(passed.get("X-Attempt-Id") == "a1");
    BOOST_TEST(passed.get("X-Private").empty());
}

// Failure: a field of one connection travelled on where a second Connection field listed it, or a
// tab stood beside its name.
BOOST_AUTO_TEST_CASE(endToEnd_severalConnectionFieldsAndTabs_listedFieldsAreDropped)
{
    const auto privateOf = [](const std::string &connection, const std::string &another) {
        http::Fields fields;
        fields.add("Connection", connection);
        fields.add("Connection", another);
        fields.add("X-Private", "private");
        return http::endToEnd(fields).all("X-Private").size();
    };
    BOOST_TEST(privateOf("X-Private", "close") == 0U);
    BOOST_TEST(privateOf("close", "X-Private") == 0U);
    BOOST_TEST(privateOf("close,\tx-private\t", "") == 0U);
    BOOST_TEST(privateOf(", ,close", "keep-alive,,X-PRIVATE") == 0U);
    BOOST_TEST(privateOf("close", "X-Private-2") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
