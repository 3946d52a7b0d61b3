#include "servers/serving/serving_core.h"

#include <chrono>
#include <utility>

// The part of the serving core that reports to the prompt quarantine what endpoints do under
// prompts.

namespace monsoonsail {

namespace {
/// An endpoint that has written events of an answer for this long doesn't end because of the
/// prompt.
constexpr Duration answerBeginTime = std::chrono::milliseconds(200);
} // namespace

void ServingCore::recordEvents(const RequestRecord &record, RunningAttempt &attempt,
                               const StreamProgress &progress, Instant now)
{
    if (!std::exchange(attempt.hasEvents, true)) {
        attempt.firstEventAt = progress.firstEventAt;
        m_context.admission.recordFirstEvent(attempt.number, progress.firstEventAt);
    }
    const bool isSound = progress.lastEventAt >= attempt.firstEventAt + answerBeginTime;
    if (isSound && !std::exchange(attempt.isSoundRun, true))
        recordSoundRun(record, now);
    m_context.promptQuarantine.recordActivity(attempt.endpoint, progress.lastEventAt);
}

void ServingCore::recordSoundRun(const RequestRecord &record, Instant now)
{
    m_context.promptQuarantine.recordSoundRun(record.service->name, record.sharedPromptParts(),
                                              now);
}

void ServingCore::recordCrash(const RequestRecord &record, const RunningAttempt &attempt,
                              Instant now)
{
    const Endpoint *endpoint = m_context.endpoints.find(attempt.endpoint);
    // An end that was announced, or that the list already knows, has nothing to do with the
    // request.
    const bool isUnexpected = endpoint != nullptr && endpoint->state == EndpointState::Ready;
    const bool hasBegun = attempt.hasEvents && attempt.firstEventAt + answerBeginTime <= now;
    if (!isUnexpected || hasBegun)
        return;
    m_context.promptQuarantine.recordCrash(record.service->name, record.sharedPromptParts(),
                                           attempt.endpoint, now);
}

bool ServingCore::isQuarantined(const RequestRecord &record) const
{
    return m_context.promptQuarantine.find(record.service->name, record.sharedPromptParts())
            .has_value();
}

bool ServingCore::isUnspentTrial(const RequestRecord &record) const
{
    return m_context.promptQuarantine.isTrial(record.arrival.number) && !record.mayHaveRun
            && record.runningAttempts.empty();
}

} // namespace monsoonsail
