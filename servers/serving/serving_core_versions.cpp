#include "servers/serving/serving_core.h"

#include <algorithm>

// The part of the serving core that keeps streams at the software version that began them.

namespace monsoonsail {

namespace {
/// A take-up is refused if the version is not found within this time.
constexpr Duration originLookupTime = std::chrono::milliseconds(500);
/// An instance that still lives has recorded the begins of its streams by then.
constexpr Duration recordRetryDelay = std::chrono::milliseconds(300);
/// The store may answer again by then.
constexpr Duration storeRetryDelay = std::chrono::milliseconds(300);
/// An endpoint that has crashed may be back with its version.
constexpr Duration goneRetryDelay = std::chrono::milliseconds(1000);
/// By then, a starting instance has usually read the list of endpoints.
constexpr Duration listRetryDelay = std::chrono::milliseconds(300);

constexpr std::string_view goneOutcome = "version-gone";
constexpr std::string_view unlistedOutcome = "endpoints-unknown";
} // namespace

void ServingCore::recordBegin(RequestRecord &record, AttemptNumber attempt)
{
    const auto software = record.attemptSoftware.find(attempt);
    if (record.software || software == record.attemptSoftware.end())
        return;
    record.software = software->second;
    if (record.isResumable() && !record.arrival.callerId.empty()) {
        m_context.streamVersions->recordBegin(record.service->name, record.arrival.callerId,
                                              *record.software);
    }
}

void ServingCore::findOrigin(RequestRecord &record, Instant now)
{
    const RequestNumber number = record.arrival.number;
    record.originDueAt = now + originLookupTime;
    reschedule(record);
    m_context.streamVersions->findOrigin(
            record.service->name, record.arrival.resumedRequest, now,
            [this, number](const StreamOrigin &origin, Instant foundAt) {
                handleOrigin(number, origin, foundAt);
            });
}

void ServingCore::handleOrigin(RequestNumber request, const StreamOrigin &origin, Instant now)
{
    const auto entry = m_requests.find(request);
    if (entry == m_requests.end() || entry->second.originDueAt == Instant::max())
        return;
    RequestRecord &record = entry->second;
    record.originDueAt = Instant::max();
    record.software = origin.software;
    if (!origin.software || !m_launcher.hasUsableSoftware(record, now)) {
        refuseTakeUp(record, origin, now);
        return;
    }
    m_context.log.write(LogLevel::Info, "stream-taken-up", record.arrival.callerId,
                        {{"resumes", record.arrival.resumedRequest},
                         {"service", record.service->name.view()},
                         {"software", origin.software->view()},
                         {"ground", originGroundName(origin.ground)},
                         {"after", toLog(record.arrival.resumeAfter.value_or(0))},
                         {"found_ms", toMs(now - record.arrival.arrivedAt)}});
    m_context.metrics.recordTakeUp(record.service->name.view(), originGroundName(origin.ground));
    if (record.isResumable() && !record.arrival.resumedRequest.empty()) {
        m_context.streamVersions->recordBegin(record.service->name, record.arrival.resumedRequest,
                                              *origin.software);
    }
    startFirstAttempt(record, now);
}

void ServingCore::refuseTakeUp(RequestRecord &record, const StreamOrigin &origin, Instant now)
{
    const bool isGone = origin.software && m_context.knowsEndpoints();
    const bool isUnlisted = origin.software && !isGone;
    const std::string_view outcome = isGone ? goneOutcome
            : isUnlisted                    ? unlistedOutcome
                                            : originGroundName(origin.ground);
    m_context.log.write(
            LogLevel::Warning, "stream-not-taken-up", record.arrival.callerId,
            {{"resumes", record.arrival.resumedRequest},
             {"service", record.service->name.view()},
             {"software", origin.software ? origin.software->view() : std::string_view()},
             {"outcome", outcome},
             {"found_ms", toMs(now - record.arrival.arrivedAt)}});
    m_context.metrics.recordTakeUp(record.service->name.view(), outcome);
    if (isGone)
        refuse(record, ErrorKind::VersionGone, now + goneRetryDelay, outcome, now);
    else if (isUnlisted)
        refuse(record, ErrorKind::NotReady, now + listRetryDelay, outcome, now);
    else if (origin.ground == OriginGround::StoreUnreachable)
        refuse(record, ErrorKind::VersionUnknown, now + storeRetryDelay, outcome, now);
    else
        refuse(record, ErrorKind::VersionUnknown, now + recordRetryDelay, outcome, now);
}

} // namespace monsoonsail
