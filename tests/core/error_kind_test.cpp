#include "core/error_kind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

using namespace monsoonsail;

/// Checks that each error kind has exactly one answer and that the answers are consistent.
class ErrorKindTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ErrorKindTest);
    CPPUNIT_TEST(everyKindHasItsOwnRow);
    CPPUNIT_TEST(retryableAnswersAreServerOrLimitErrors);
    CPPUNIT_TEST(errorCodeNamesItsCause);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyKindHasItsOwnRow()
    {
        std::set<std::string> names;
        int expected = 1;
        for (const ErrorAnswer &answer : errorAnswers()) {
            CPPUNIT_ASSERT_EQUAL(expected++, static_cast<int>(answer.kind));
            CPPUNIT_ASSERT(names.insert(std::string(answer.name)).second);
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorKind::Internal) + 1, expected);
    }

    void retryableAnswersAreServerOrLimitErrors()
    {
        for (const ErrorAnswer &answer : errorAnswers()) {
            if (answer.retryable)
                CPPUNIT_ASSERT(answer.status == 409 || answer.status == 429
                               || answer.status >= 500);
        }
    }

    void errorCodeNamesItsCause()
    {
        const std::error_code error = ErrorKind::NoEndpoint;
        CPPUNIT_ASSERT_EQUAL(std::string("No endpoint can take the request."), error.message());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ErrorKindTest);
