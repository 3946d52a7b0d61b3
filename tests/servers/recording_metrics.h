#pragma once

#include "servers/ports/serving_metrics.h"

#include <string>
#include <vector>

namespace monsoonsail {

/// Counts the calls, and records the kinds of the refusals.
class RecordingMetrics : public ServingMetrics
{
public:
    void recordAnswer(std::string_view /*route*/, std::string_view /*account*/, Duration /*first*/,
                      Duration /*total*/) override
    {
        ++answers;
    }
    void recordLongestPause(std::string_view /*route*/, Duration /*longest*/) override { ++pauses; }
    void recordRefusal(std::string_view /*account*/, ErrorKind kind) override
    {
        refusals.push_back(kind);
    }
    void recordAdmissionRefusal(std::string_view reason, unsigned /*urgency*/) override
    {
        admissionRefusals.emplace_back(reason);
    }
    void recordPlatformCall(std::string_view /*call*/, std::string_view /*subject*/) override { }
    void recordEndpointUpdate(Duration /*age*/) override { }
    void recordTakeUp(std::string_view /*service*/, std::string_view outcome) override
    {
        takeUps.emplace_back(outcome);
    }
    void recordJudgedStreamEnd(std::string_view /*service*/, StreamEndGround ground) override
    {
        judgedStreamEnds.push_back(ground);
    }
    void recordTooLongAnswer(std::string_view /*service*/) override { }
    void recordRolloutRun(std::string_view /*service*/, std::string_view phase) override
    {
        rolloutRuns.emplace_back(phase);
    }
    void recordConfiguration(std::string_view /*source*/, Duration /*behindFor*/) override { }
    void recordRolloutPhase(std::string_view /*service*/, std::string_view phase) override
    {
        rolloutPhases.emplace_back(phase);
    }
    void recordPredictionError(std::string_view /*service*/, std::string_view /*route*/,
                               PredictedPoint point, double ratio) override
    {
        (point == PredictedPoint::FirstEvent ? firstEventRatios : endRatios).push_back(ratio);
    }
    void recordAttempt(std::string_view /*service*/, AttemptResult /*result*/) override
    {
        ++attempts;
    }

    unsigned answers = 0;
    unsigned pauses = 0;
    unsigned attempts = 0;
    std::vector<ErrorKind> refusals;
    std::vector<std::string> admissionRefusals;
    std::vector<std::string> takeUps;
    std::vector<std::string> rolloutRuns; ///< Phases of the runs at targets.
    std::vector<std::string> rolloutPhases;
    std::vector<StreamEndGround> judgedStreamEnds;
    std::vector<double> firstEventRatios;
    std::vector<double> endRatios;
};

} // namespace monsoonsail
