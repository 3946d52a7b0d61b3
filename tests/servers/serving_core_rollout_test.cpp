#include "tests/servers/fake_stream_versions.h"
#include "tests/servers/serving_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;

/// Guards that attempts of all kinds keep to what a roll-out allows, and that their ends are
/// counted for the software version that ran them.
class ServingCoreRolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServingCoreRolloutTest);
    CPPUNIT_TEST(repeatsKeepTheSample);
    CPPUNIT_TEST(hedgesKeepTheSample);
    CPPUNIT_TEST(streamsGoOnAtTheTargetUntilItIsBad);
    CPPUNIT_TEST(endsAreCountedByVersion);
    CPPUNIT_TEST(runsThatLoseToAHedgeAreCounted);
    CPPUNIT_TEST(disabledRollOutsChangeNothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned targets = 20;

    /// Lists a version "v2" beside the unnamed one and applies a state for the service.
    static void begin(ServingFixture &fixture, const std::string &service, RolloutPhase phase)
    {
        fixture.context.rolloutTraffic.setExposureShare(0.1);
        fixture.context.rolloutTraffic.observe(fixture.context.endpoints, fixture.now);
        for (unsigned number = 0; number < targets; ++number) {
            const std::string name = "t" + std::to_string(number);
            fixture.context.endpoints.applyListing({.instance = name,
                                                    .startedMs = 1,
                                                    .sequence = 1,
                                                    .service = ServiceId(service),
                                                    .software = SoftwareVersion("v2"),
                                                    .address = name + ":80",
                                                    .zone = ZoneId("zvolen"),
                                                    .slots = 8},
                                                   fixture.now);
        }
        apply(fixture, service, phase, 0);
    }
    static void apply(ServingFixture &fixture, const std::string &service, RolloutPhase phase,
                      std::uint32_t change)
    {
        fixture.context.rolloutTraffic.apply({.service = ServiceId(service),
                                              .target = SoftwareVersion("v2"),
                                              .phase = phase,
                                              .order = 7,
                                              .change = change,
                                              .oldVersions = {SoftwareVersion()}},
                                             fixture.now);
    }
    static bool isAtTarget(const AttemptStart &attempt)
    {
        return attempt.software == SoftwareVersion("v2");
    }
    static RequestNumber arriveAtTarget(ServingFixture &fixture, const std::string &path)
    {
        for (unsigned count = 0; count < 200; ++count) {
            const RequestNumber request = fixture.arrive(path);
            if (isAtTarget(fixture.latestAttempt(request)))
                return request;
        }
        CPPUNIT_FAIL("no request was sampled");
        return 0;
    }
    static VersionEvidence evidenceOf(const ServingFixture &fixture, const std::string &service,
                                      const std::string &software)
    {
        VersionEvidence sum;
        for (const VersionEvidence &total :
             fixture.context.rolloutEvidence.totals(ServiceId(service))) {
            if (total.software == SoftwareVersion(software))
                addEvidence(sum, total);
        }
        return sum;
    }

public:
    // Guards against requests that reach a bad version by their repeats, and against requests that
    // fail there twice.
    void repeatsKeepTheSample()
    {
        ServingFixture fixture;
        begin(fixture, "plain", RolloutPhase::Trial);
        unsigned atTarget = 0;
        constexpr unsigned requests = 400;
        for (unsigned count = 0; count < requests; ++count) {
            const RequestNumber request = fixture.arrive("/look/");
            atTarget += isAtTarget(fixture.latestAttempt(request)) ? 1 : 0;
            // As many fail as the budget lets be repeated.
            if (isAtTarget(fixture.latestAttempt(request)) || count % 10 == 0) {
                const std::size_t starts = fixture.traffic.starts.size();
                fixture.endAttempt(request, AttemptResult::Answered, 500);
                CPPUNIT_ASSERT_EQUAL(starts + 1, fixture.traffic.starts.size());
                CPPUNIT_ASSERT(!isAtTarget(fixture.latestAttempt(request)));
            }
            fixture.endAttempt(request, AttemptResult::Answered);
        }
        CPPUNIT_ASSERT(atTarget >= requests * 0.05 && atTarget <= requests * 0.1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{atTarget}, fixture.metrics.rolloutRuns.size());
        CPPUNIT_ASSERT_EQUAL(std::string("trial"), fixture.metrics.rolloutRuns.front());
    }

    // Guards against hedges at a version on trial.
    void hedgesKeepTheSample()
    {
        ServingFixture fixture;
        begin(fixture, "plain", RolloutPhase::Trial);
        for (unsigned count = 0; count < 40; ++count)
            fixture.arrive("/look/");
        const std::size_t first = fixture.traffic.starts.size();
        fixture.advance(milliseconds(60));
        CPPUNIT_ASSERT(fixture.traffic.starts.size() > first);
        CPPUNIT_ASSERT(
                std::none_of(fixture.traffic.starts.begin() + static_cast<std::ptrdiff_t>(first),
                             fixture.traffic.starts.end(), isAtTarget));
    }

    // Guards against streams of a version on trial that are cut when an engine crashes, and against
    // streams that go on at a version that is known to be bad.
    void streamsGoOnAtTheTargetUntilItIsBad()
    {
        for (const bool isBad : {false, true}) {
            ServingFixture fixture;
            FakeStreamVersions versions;
            versions.allowed = {"", "v2"};
            fixture.context.streamVersions = &versions;
            begin(fixture, "model", RolloutPhase::Trial);
            const RequestNumber stream = arriveAtTarget(fixture, "/review/");
            fixture.progress(stream, 1, 1);
            if (isBad)
                apply(fixture, "model", RolloutPhase::RollingBack, 1);
            const std::size_t starts = fixture.traffic.starts.size();
            fixture.endAttempt(stream, AttemptResult::Interrupted, 0);
            CPPUNIT_ASSERT_EQUAL(starts + (isBad ? 0 : 1), fixture.traffic.starts.size());
            if (isBad)
                CPPUNIT_ASSERT(fixture.lastRefusal() == ErrorKind::AnswerInterrupted);
            else
                CPPUNIT_ASSERT(isAtTarget(fixture.latestAttempt(stream)));
        }
    }

    // Guards against ends of attempts that are not counted, or for which the version is not at
    // fault.
    void endsAreCountedByVersion()
    {
        ServingFixture fixture;
        begin(fixture, "plain", RolloutPhase::Trial);
        const RequestNumber failing = arriveAtTarget(fixture, "/book/");
        fixture.endAttempt(failing, AttemptResult::Answered, 500);
        const RequestNumber breaking = arriveAtTarget(fixture, "/book/");
        fixture.endAttempt(breaking, AttemptResult::Interrupted, 0);
        const RequestNumber declined = arriveAtTarget(fixture, "/book/");
        fixture.endAttempt(declined, AttemptResult::Declined, 503);
        fixture.endAttempt(declined, AttemptResult::Answered);
        // The endpoint that declined is suspect for a while.
        fixture.advance(std::chrono::seconds(3));
        fixture.core.handleCallerDisconnect(arriveAtTarget(fixture, "/book/"), fixture.now);
        CPPUNIT_ASSERT_EQUAL(2U, evidenceOf(fixture, "plain", "v2").answers);
        CPPUNIT_ASSERT_EQUAL(2U, evidenceOf(fixture, "plain", "v2").failures);
        CPPUNIT_ASSERT_EQUAL(1U, evidenceOf(fixture, "plain", "").answers);
        CPPUNIT_ASSERT_EQUAL(0U, evidenceOf(fixture, "plain", "").failures);
    }

    // Guards against a slow version that shows nothing, since hedges answer in its place and the
    // callers of streams leave.
    void runsThatLoseToAHedgeAreCounted()
    {
        ServingFixture fixture;
        begin(fixture, "plain", RolloutPhase::Trial);
        for (unsigned count = 0; count < 10; ++count) {
            const RequestNumber request = fixture.arrive("/look/");
            if (isAtTarget(fixture.latestAttempt(request)))
                continue;
            fixture.advance(milliseconds(20));
            fixture.endAttempt(request, AttemptResult::Answered);
        }
        const RequestNumber slow = arriveAtTarget(fixture, "/look/");
        fixture.advance(milliseconds(100));
        CPPUNIT_ASSERT(!isAtTarget(fixture.latestAttempt(slow)));
        fixture.endAttempt(slow, AttemptResult::Answered);
        const VersionEvidence evidence = evidenceOf(fixture, "plain", "v2");
        CPPUNIT_ASSERT_EQUAL(1U, evidence.answers);
        // 100 ms are five times the 20 ms of the old version.
        CPPUNIT_ASSERT_EQUAL(1U, evidence.times.at(10));
    }

    // Guards against effects where roll-outs are not enabled: all endpoints are used as before.
    void disabledRollOutsChangeNothing()
    {
        ServingFixture fixture;
        begin(fixture, "plain", RolloutPhase::RolledBack);
        fixture.context.rolloutTraffic.setExposureShare(std::nullopt);
        for (unsigned count = 0; count < 40; ++count)
            fixture.arrive("/look/");
        CPPUNIT_ASSERT(std::ranges::any_of(fixture.traffic.starts, isAtTarget));
        CPPUNIT_ASSERT(fixture.metrics.rolloutRuns.empty());
        CPPUNIT_ASSERT(fixture.context.rolloutEvidence.totals(ServiceId("plain")).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingCoreRolloutTest);
