#include "servers/rollout/rollout_watch.h"
#include "tests/servers/rollout_model.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <optional>
#include <string>

using namespace monsoonsail;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Checks how soon bad versions are found in a trial, and how often good ones are taken for bad.
/// Of 200 roll-outs one may be decided wrongly.
class RolloutJudgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutJudgeTest);
    CPPUNIT_TEST(failingVersionIsFoundAtOnce);
    CPPUNIT_TEST(versionThatFailsNowAndThenIsFound);
    CPPUNIT_TEST(versionThatFailsLateIsFound);
    CPPUNIT_TEST(versionThatFailsOnOneRouteIsFound);
    CPPUNIT_TEST(slowVersionIsFound);
    CPPUNIT_TEST(versionThatIsSlowOnOneRouteIsFound);
    CPPUNIT_TEST(versionThatIsSlowLateIsFound);
    CPPUNIT_TEST(goodVersionIsFoundGood);
    CPPUNIT_TEST(versionIsComparedWithABadOldOne);
    CPPUNIT_TEST(endOfOneEndpointIsNoFault);
    CPPUNIT_TEST(coldStartIsNoFault);
    CPPUNIT_TEST(fewAnswersAreNotGood);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration tick = milliseconds(100);
    /// Until the report of an order of 12 s.
    static constexpr Duration trialTime = seconds(11);
    static constexpr unsigned seeds = 400;
    static constexpr unsigned allowedErrors = 2;
    /// No request may be sent to a version later than 5 s after its 50th bad answer; a second of
    /// these is left for the spread of evidence and verdict.
    static constexpr unsigned badAnswerLimit = 50;
    static constexpr Duration verdictTime = seconds(4);
    static constexpr double share = 0.09;
    static constexpr Instant start = instantFromMicroseconds(1'000'000'000);

    struct Trial
    {
        std::optional<Duration> badAfter;
        std::optional<Duration> goodAfter;
        unsigned badAnswers = 0;                   ///< Until it was found bad.
        std::optional<Duration> limitReachedAfter; ///< Time of the 50th bad answer.
        bool hasSign = false;                      ///< At the end.
    };

    static Trial run(RolloutModel &model, Duration length = trialTime)
    {
        Trial trial;
        const RolloutState state{.target = SoftwareVersion(RolloutModel::targetVersion)};
        RolloutWatch watch(state);
        for (Duration at{}; at < length && !trial.badAfter; at += tick) {
            model.answer(at, tick, share);
            if (!trial.limitReachedAfter && model.badAnswers >= badAnswerLimit)
                trial.limitReachedAfter = at;
            watch.update(model.totals(), RolloutPhase::Trial, start + at);
            const RolloutVerdict &verdict = watch.verdict();
            if (verdict.judgement == RolloutJudgement::Bad)
                trial.badAfter = at;
            if (verdict.judgement == RolloutJudgement::Good && !trial.goodAfter)
                trial.goodAfter = at;
            trial.hasSign = verdict.hasSign;
        }
        trial.badAnswers = model.badAnswers;
        return trial;
    }

    /// Checks that the version is found bad soon after its 50th bad answer, and before the report.
    static void checkFound(const std::string &name, const VersionBehaviour &behaviour)
    {
        unsigned errors = 0;
        unsigned maxSeen = 0;
        unsigned missed = 0; // Would be completed.
        Duration longest{};
        Duration sum{};
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RolloutModel model(seed);
            model.target = behaviour;
            const Trial trial = run(model);
            const Duration latest = trial.limitReachedAfter.value_or(trialTime) + verdictTime;
            errors += !trial.badAfter || *trial.badAfter > latest ? 1 : 0;
            missed += !trial.badAfter && !trial.hasSign ? 1 : 0;
            maxSeen = std::max(maxSeen, trial.badAnswers);
            const Duration delay = trial.badAfter.value_or(trialTime) - behaviour.turnsAt;
            longest = std::max(longest, delay);
            sum += delay;
        }
        std::cout << '\n'
                  << name << ": " << errors << " of " << seeds << " not found in time, " << missed
                  << " without a sign, at most " << maxSeen << " bad answers, after "
                  << toSeconds(sum / seeds) << " s on average, " << toSeconds(longest)
                  << " s at most" << std::flush;
        CPPUNIT_ASSERT(errors <= allowedErrors);
    }

    static unsigned countFoundBad(const VersionBehaviour &old, const VersionBehaviour &target)
    {
        unsigned errors = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RolloutModel model(seed);
            model.old = old;
            model.target = target;
            errors += run(model).badAfter ? 1 : 0;
        }
        return errors;
    }

public:
    // Guards against sending on to a version that answers nothing.
    void failingVersionIsFoundAtOnce() { checkFound("always fails", {.failures = 1}); }

    // Guards against a threshold that only complete failure reaches.
    void versionThatFailsNowAndThenIsFound() { checkFound("fails at 0.3", {.failures = 0.3}); }

    // Guards against good answers from before that excuse the present ones.
    void versionThatFailsLateIsFound()
    {
        checkFound("fails late at 0.5", {.failures = 0.5, .turnsAt = seconds(6)});
    }

    // Guards against a fault that the answers of the other routes hide.
    void versionThatFailsOnOneRouteIsFound()
    {
        checkFound("fails on one route", {.failures = 0.8, .badRoutes = {2}});
    }

    // Guards against a judgement by failures only.
    void slowVersionIsFound() { checkFound("slow", {.slowness = 4}); }

    // Guards against slow answers that the quick ones of other routes hide.
    void versionThatIsSlowOnOneRouteIsFound()
    {
        checkFound("slow on one route", {.slowness = 5, .badRoutes = {2}});
    }

    // Guards against quick answers from before that hide the present ones.
    void versionThatIsSlowLateIsFound()
    {
        checkFound("slow late", {.slowness = 5, .turnsAt = seconds(8)});
    }

    // Guards against a roll-back of a sound version by chance, and against a verdict that never
    // comes.
    void goodVersionIsFoundGood()
    {
        unsigned errors = 0;
        unsigned undecided = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RolloutModel model(seed);
            model.old.failures = 0.01;
            model.target.failures = 0.01;
            const Trial trial = run(model);
            errors += trial.badAfter ? 1 : 0;
            undecided += trial.goodAfter ? 0 : 1;
        }
        std::cout << "\ngood: " << errors << " found bad, " << undecided << " never good of "
                  << seeds << std::flush;
        CPPUNIT_ASSERT(errors <= allowedErrors);
        CPPUNIT_ASSERT(undecided <= allowedErrors);
    }

    // Guards against a roll-back to a version that is as bad.
    void versionIsComparedWithABadOldOne()
    {
        const unsigned failing = countFoundBad({.failures = 0.3}, {.failures = 0.3});
        const unsigned slow =
                countFoundBad({.slowness = 4, .slowShare = 0.4}, {.slowness = 4, .slowShare = 0.4});
        std::cout << "\nas bad as before: " << failing << " and " << slow << " found bad of "
                  << seeds << std::flush;
        CPPUNIT_ASSERT(failing <= allowedErrors);
        CPPUNIT_ASSERT(slow <= allowedErrors);
    }

    // Guards against a roll-back since one endpoint ended and broke all its runs.
    void endOfOneEndpointIsNoFault()
    {
        unsigned errors = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RolloutModel model(seed);
            RolloutWatch watch({.target = SoftwareVersion(RolloutModel::targetVersion)});
            bool isBad = false;
            for (Duration at{}; at < trialTime; at += tick) {
                // Some eight runs end, of which the instances report within 0.4 s.
                model.target.failures = 1;
                if (at >= seconds(4) && at < milliseconds(4400))
                    model.answer(at, milliseconds(20), 1);
                model.target.failures = 0.005;
                model.answer(at, tick, share);
                watch.update(model.totals(), RolloutPhase::Trial, start + at);
                isBad |= watch.verdict().judgement == RolloutJudgement::Bad;
            }
            errors += isBad ? 1 : 0;
        }
        std::cout << "\nend of an endpoint: " << errors << " found bad of " << seeds << std::flush;
        CPPUNIT_ASSERT(errors <= allowedErrors);
    }

    // Guards against a roll-back since the caches of new endpoints are empty.
    void coldStartIsNoFault()
    {
        unsigned errors = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RolloutModel model(seed);
            RolloutWatch watch({.target = SoftwareVersion(RolloutModel::targetVersion)});
            bool isBad = false;
            for (Duration at{}; at < trialTime; at += tick) {
                model.target.slowness = at < milliseconds(1800) ? 4 : 1;
                model.answer(at, tick, share);
                watch.update(model.totals(), RolloutPhase::Trial, start + at);
                isBad |= watch.verdict().judgement == RolloutJudgement::Bad;
            }
            errors += isBad ? 1 : 0;
        }
        CPPUNIT_ASSERT(errors <= allowedErrors);
    }

    // Guards against a verdict by a handful of answers, and by answers on one route only.
    void fewAnswersAreNotGood()
    {
        const RolloutJudge judge{SoftwareVersion(RolloutModel::targetVersion)};
        const auto evidence = [](const char *version, std::uint64_t route, std::uint32_t answers) {
            return VersionEvidence{
                    .software = SoftwareVersion(version), .routeHash = route, .answers = answers};
        };
        std::vector<VersionEvidence> all{evidence("v1", 1, 500), evidence("v2", 1, 20)};
        CPPUNIT_ASSERT(judge.judge(all).judgement == RolloutJudgement::Undecided);
        all.back().answers = 60;
        CPPUNIT_ASSERT(judge.judge(all).judgement == RolloutJudgement::Good);
        all.push_back(evidence("v1", 2, 400));
        CPPUNIT_ASSERT(judge.judge(all).judgement == RolloutJudgement::Undecided);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutJudgeTest);
