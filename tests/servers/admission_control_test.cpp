#include "tests/servers/place_model.h"
#include "tests/servers/serving_fixture.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Plays loads beyond what the engines can do against AdmissionControl.
class AdmissionControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionControlTest);
    CPPUNIT_TEST(smallAccountsAreNotAffectedByAFlood);
    CPPUNIT_TEST(goodputStaysFlat);
    CPPUNIT_TEST(urgentKindsAreServedFirstAndNoneStarves);
    CPPUNIT_TEST(instancesWithoutDigestsKeepToTheirShare);
    CPPUNIT_TEST(nothingIsRefusedInACalmLoad);
    CPPUNIT_TEST(hopelessRequestsAreRefusedAtOnce);
    CPPUNIT_TEST(wrongPredictionAloneRefusesNothing);
    CPPUNIT_TEST(everythingIsAdmittedByDefault);
    CPPUNIT_TEST_SUITE_END();

    using Size = PlaceModel::Size;

    static constexpr std::array<Size, 2> sizes{Size{5, 20, milliseconds(250)},
                                               Size{71, 140, milliseconds(450)}};

    static std::string text(const Size &size, double load, const PlaceResult &result)
    {
        return std::to_string(size.instances) + " instances, load " + std::to_string(load) + ": "
                + std::to_string(result.calls) + " calls, " + std::to_string(result.tries)
                + " tries, " + std::to_string(result.refused) + " refused, "
                + std::to_string(result.needless) + " needlessly, "
                + std::to_string(result.answered) + " answered, " + std::to_string(result.onTime)
                + " on time, " + std::to_string(result.inVain) + " in vain, longest wait "
                + std::to_string(toMs(result.longestWait)) + " ms";
    }

    static PlaceResult total(const std::vector<PlaceResult> &results)
    {
        PlaceResult sum;
        for (const PlaceResult &result : results) {
            sum.calls += result.calls;
            sum.tries += result.tries;
            sum.refused += result.refused;
            sum.needless += result.needless;
            sum.inVain += result.inVain;
            sum.answered += result.answered;
            sum.onTime += result.onTime;
            sum.answeredSeconds += result.answeredSeconds;
            sum.longestWait = std::max(sum.longestWait, result.longestWait);
        }
        return sum;
    }

    /// Twelve accounts that together take 60 % of the engines, and one that usually takes 20 % and
    /// floods by this factor, with requests of the same kind.
    static std::vector<PlaceStream> flood(const Size &size, double factor)
    {
        std::vector<PlaceStream> streams;
        const auto add = [&](const std::string &account, double capacityFraction) {
            streams.push_back({.account = AccountId(account),
                               .urgency = 1,
                               .perSecond = capacityFraction * size.capacity() / 0.4,
                               .seconds = 0.4,
                               .goal = seconds(1),
                               .deadline = seconds(5)});
        };
        for (unsigned number = 0; number < 12; ++number)
            add("small-" + std::to_string(number), 0.05);
        add("flooding", 0.2 * factor);
        return streams;
    }

    /// Three kinds of requests of three accounts each. A load of 1 fits.
    static std::vector<PlaceStream> mixed(const Size &size, double load)
    {
        std::vector<PlaceStream> streams;
        for (const std::string account : {"a", "b", "c"}) {
            const auto add = [&](unsigned urgency, double capacityFraction, double length,
                                 Duration goal, Duration deadline) {
                streams.push_back(
                        {.account = AccountId(account),
                         .urgency = urgency,
                         .perSecond = load * capacityFraction / 3 * size.capacity() / length,
                         .seconds = length,
                         .goal = goal,
                         .deadline = deadline});
            };
            add(0, 0.12, 0.3, milliseconds(500), seconds(10));
            add(1, 0.10, 0.1, milliseconds(800), seconds(3));
            add(4, 0.63, 1.2, milliseconds(2500), seconds(12));
        }
        return streams;
    }

    /// Sums up the results of an urgency.
    static PlaceResult ofUrgency(unsigned urgency, const std::vector<PlaceStream> &streams,
                                 const std::vector<PlaceResult> &results)
    {
        std::vector<PlaceResult> chosen;
        for (std::size_t index = 0; index < streams.size(); ++index) {
            if (streams.at(index).urgency == urgency)
                chosen.push_back(results.at(index));
        }
        return total(chosen);
    }

    static double servedRatio(const PlaceResult &result)
    {
        return static_cast<double>(result.answered) / result.calls;
    }

    PlaceRequest request(Instant now, Duration firstEvent, bool hasFreeSlot) const
    {
        return {.service = ServiceId("model"),
                .account = AccountId("club"),
                .cost = 1000,
                .charge = 1000,
                .expectedFirstEventAt = now + firstEvent,
                .goalAt = now + milliseconds(500),
                .deadline = now + seconds(3),
                .hasFreeSlot = hasFreeSlot};
    }

public:
    // Guards against a flood that fills the queues of the engines: the wait of all others then
    // grows with the flood up to the deadline.
    void smallAccountsAreNotAffectedByAFlood()
    {
        for (const Size &size : sizes) {
            // With a flood of 2 all requests just fit.
            Duration fitting{};
            for (const double factor : {2.0, 6.0, 20.0}) {
                PlaceModel model(size, true, 1);
                model.run(seconds(10), flood(size, 1));
                auto results = model.run(seconds(15), flood(size, factor));
                results.pop_back();
                const PlaceResult small = total(results);
                const std::string figures = text(size, factor, small);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0U, small.refused);
                if (factor == 2.0)
                    fitting = small.longestWait;
                // The work that is placed before the first reaction, and two ages of digests.
                CPPUNIT_ASSERT_MESSAGE(figures,
                                       small.longestWait <= fitting + milliseconds(700)
                                                       + 2 * size.digestInterval);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0U, small.inVain);
            }
        }
    }

    // Guards against work that is done in vain, so that less is answered the more is asked.
    void goodputStaysFlat()
    {
        for (const Size &size : sizes) {
            double fitting = 0;
            for (const double load : {1.0, 1.5, 2.0, 3.0, 4.0}) {
                PlaceModel model(size, true, 2);
                model.run(seconds(10), mixed(size, 0.8));
                model.run(seconds(5), mixed(size, load));
                const PlaceResult result = total(model.run(seconds(20), mixed(size, load)));
                const std::string figures = text(size, load, result);
                if (load == 1.0)
                    fitting = result.answeredSeconds;
                CPPUNIT_ASSERT_MESSAGE(figures + ", goodput "
                                               + std::to_string(result.answeredSeconds / fitting),
                                       result.answeredSeconds >= 0.95 * fitting);
                CPPUNIT_ASSERT_MESSAGE(figures, result.inVain <= 0.01 * result.answered);
                CPPUNIT_ASSERT_MESSAGE(figures, result.needless <= 0.01 * result.tries);
            }
        }
    }

    // Guards against urgent requests that are refused as others are, and against kinds or accounts
    // that get nothing.
    void urgentKindsAreServedFirstAndNoneStarves()
    {
        for (const Size &size : sizes) {
            for (const double load : {1.5, 2.0, 4.0}) {
                PlaceModel model(size, true, 3);
                model.run(seconds(10), mixed(size, 0.8));
                const auto streams = mixed(size, load);
                const auto results = model.run(seconds(25), streams);
                const double overall = servedRatio(total(results));
                double moreUrgent = 1;
                for (const unsigned urgency : {0U, 1U, 4U}) {
                    const PlaceResult result = ofUrgency(urgency, streams, results);
                    const std::string figures = "urgency " + std::to_string(urgency) + ", "
                            + text(size, load, result) + ", overall " + std::to_string(overall);
                    CPPUNIT_ASSERT_MESSAGE(figures, servedRatio(result) >= 0.25 * overall);
                    // The last requests are not answered yet at the end.
                    CPPUNIT_ASSERT_MESSAGE(figures, servedRatio(result) <= moreUrgent + 0.01);
                    moreUrgent = servedRatio(result);
                }
                for (const PlaceResult &result : results)
                    CPPUNIT_ASSERT(servedRatio(result) >= 0.25 * overall);
            }
        }
    }

    // Guards against predictions that lack what other instances have placed: nothing was refused
    // until work was done in vain.
    void instancesWithoutDigestsKeepToTheirShare()
    {
        for (const Size &size : sizes) {
            for (const double load : {0.8, 4.0}) {
                PlaceModel model(size, true, 5);
                model.run(seconds(10), mixed(size, 0.8));
                model.cutDigests();
                const PlaceResult result = total(model.run(seconds(20), mixed(size, load)));
                const std::string figures = text(size, load, result);
                CPPUNIT_ASSERT_MESSAGE(figures, result.inVain <= 0.01 * result.answered);
                if (load < 1)
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(figures, 0U, result.refused);
                else
                    CPPUNIT_ASSERT_MESSAGE(figures,
                                           result.answeredSeconds >= 0.95 * 20 * size.capacity());
            }
        }
    }

    void nothingIsRefusedInACalmLoad()
    {
        for (const Size &size : sizes) {
            PlaceModel model(size, true, 4);
            const PlaceResult result = total(model.run(seconds(30), mixed(size, 0.8)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(text(size, 0.8, result), 0U, result.refused);
        }
    }

    // Guards against requests that wait for their deadline, and against retries that all return
    // together.
    void hopelessRequestsAreRefusedAtOnce()
    {
        AdmissionControl admission(1);
        const Instant now = instantFromMicroseconds(1'000'000'000);
        const auto first = admission.refuse(request(now, seconds(4), false), now);
        const auto second = admission.refuse(request(now, seconds(4), false), now);
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT(first->reason == PlaceRefusalReason::TooLate);
        CPPUNIT_ASSERT(first->retryAt >= now + seconds(1));
        CPPUNIT_ASSERT(first->retryAt <= now + seconds(2));
        CPPUNIT_ASSERT(first->retryAt != second->retryAt);
    }

    // Guards against refusals for a prediction that nothing else confirms.
    void wrongPredictionAloneRefusesNothing()
    {
        AdmissionControl admission(1);
        Instant now = instantFromMicroseconds(1'000'000'000);
        for (AttemptNumber attempt = 1; attempt < 200; ++attempt, now += milliseconds(20)) {
            const PlaceRequest late = request(now, seconds(4), true);
            CPPUNIT_ASSERT(!admission.refuse(late, now));
            admission.recordStart(attempt, late, now);
            admission.recordFirstEvent(attempt, now + milliseconds(30));
            admission.recordEnd(attempt, false, now + milliseconds(90));
        }
    }

    // Guards against a change of behaviour where the setting is off.
    void everythingIsAdmittedByDefault()
    {
        CPPUNIT_ASSERT(!ServingLimits().sharesPlaces);
        ServingFixture off;
        ServingFixture on;
        on.context.limits.sharesPlaces = true;
        for (unsigned number = 0; number < 2000; ++number) {
            off.arrive("/plan/");
            on.arrive("/plan/");
        }
        CPPUNIT_ASSERT(off.metrics.refusals.empty());
        CPPUNIT_ASSERT(!on.metrics.refusals.empty());
        CPPUNIT_ASSERT(on.lastRefusal() == ErrorKind::Overloaded);
        CPPUNIT_ASSERT_EQUAL(on.metrics.refusals.size(), on.metrics.admissionRefusals.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionControlTest);
