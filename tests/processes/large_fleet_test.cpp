#include "tests/processes/leaving_run.h"
#include "tests/processes/report_run.h"
#include "tests/support/seeds.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

using namespace monsoonsail;

namespace {

/// Environment variable with the seeds to run, "FIRST-LAST".
constexpr const char *seedsVariable = "MONSOONSAIL_FLEET_SEEDS";

/// `seedOfCi` is the one that CI runs, since each run takes about 20 s.
template <typename Run>
void assertSeedsPass(std::uint64_t seedOfCi)
{
    std::string report;
    for (const std::uint64_t seed : seedsToRun(seedsVariable, {seedOfCi})) {
        for (const std::string &line : Run(seed).run())
            report += "seed " + std::to_string(seed) + ": " + line + "\n";
    }
    CPPUNIT_ASSERT_MESSAGE(report, report.empty());
}

} // namespace

/// Runs 48 real daemons, so that bulletins go through relays, and checks rules that only fail among
/// many instances.
class LargeFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LargeFleetTest);
    CPPUNIT_TEST(requestsReachLeavingEndpointsAfterReadersAreKilled);
    CPPUNIT_TEST(usageReportsDifferAfterTheHolderIsKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsReachLeavingEndpointsAfterReadersAreKilled() { assertSeedsPass<LeavingRun>(3); }
    void usageReportsDifferAfterTheHolderIsKilled() { assertSeedsPass<ReportRun>(2); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeFleetTest);
