#include "servers/serving/serving_core.h"

#include <vector>

// The part of the serving core that ends the requests in progress when the process ends.

namespace monsoonsail {

namespace {
/// By then the caller should try another instance.
constexpr Duration retryDelay = std::chrono::milliseconds(200);
constexpr std::string_view cause = "the process ends";
} // namespace

void ServingCore::endWaitingRequests(Instant now)
{
    std::vector<RequestNumber> waiting;
    for (const auto &[number, record] : m_requests) {
        if (!record.isStreaming)
            waiting.push_back(number);
    }
    for (const RequestNumber number : waiting)
        endRequest(m_requests.at(number), now);
}

void ServingCore::endAllRequests(Instant now)
{
    while (!m_requests.empty())
        endRequest(m_requests.begin()->second, now);
}

void ServingCore::endRequest(RequestRecord &record, Instant now)
{
    if (!record.runningAttempts.empty()) {
        record.mayHaveRun = true;
        if (!record.isStream())
            recordUsage(record, record.runningAttempts.front().startedAt);
    }
    m_launcher.cancelAll(record, EndpointVerdict::Inconclusive, now);
    if (record.failureAnswerAttempt != 0 && !record.isStreaming)
        giveUp(record, ErrorKind::Stopping, cause, now);
    else if (record.mayHaveRun || record.isStreaming)
        refuse(record, ErrorKind::AnswerInterrupted, std::nullopt, cause, now);
    else
        refuse(record, ErrorKind::Stopping, now + retryDelay, cause, now);
}

} // namespace monsoonsail
