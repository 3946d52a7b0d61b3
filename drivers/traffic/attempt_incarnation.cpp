#include "drivers/traffic/attempt.h"

#include <utility>

// The part of an attempt that checks the incarnation of its endpoint.

namespace monsoonsail {

namespace {
constexpr int statusOk = 200;
constexpr int firstServerErrorStatus = 500;
} // namespace

// An endpoint that has started again under its instance's name takes requests that are meant for
// the incarnation before, and its answers don't tell.
void Attempt::beginIncarnationCheck()
{
    // The connection is established, so if the other one, which is opened later, leads to the
    // incarnation that is meant, this one can't lead to a later incarnation.
    if (m_owner.closesAfterChecks(m_start.endpoint)) {
        m_mode = Mode::CheckingSeparately;
        m_owner.startSeparateCheck(*this);
        return;
    }
    m_mode = Mode::CheckingIncarnation;
    std::string check;
    m_codec.writeStatusCheck({.endpoint = m_start.endpoint, .address = m_start.address}, check);
    m_connection->send(check);
}

void Attempt::finishIncarnationCheck()
{
    const ResponseHead head = m_reader->head();
    // A late response to an earlier request has the id of that one. Endpoints may echo the lack of
    // an id as an empty one.
    const bool namesRequest = !m_codec.parseResponse(head).callerId.value_or("").empty();
    if (head.status < minFinalStatus || namesRequest) {
        m_body.clear();
        ++m_skippedResponses;
        startReader();
        m_mode = Mode::CheckingIncarnation;
        return;
    }
    const std::string body = std::exchange(m_body, {});
    if (!passesCheck(head.status, body))
        return;
    if (!head.keepAlive) {
        m_connection->close();
        m_wasClosedAfterCheck = true;
        reportEnd(AttemptResult::NotSent, "the endpoint closes the connection");
        return;
    }
    m_connection->isIncarnationChecked = true;
    m_connection->incarnationCheckStatus = head.status;
    startReader();
    sendRequest();
}

void Attempt::finishSeparateCheck(int status, std::string_view body)
{
    if (!passesCheck(status, body))
        return;
    m_connection->isIncarnationChecked = true;
    startReader();
    sendRequest();
}

/// Returns whether the endpoint may be sent the request after this response to the check. Otherwise
/// the attempt has ended.
bool Attempt::passesCheck(int status, std::string_view body)
{
    if (status < minFinalStatus || status >= firstServerErrorStatus) {
        m_connection->close();
        reportEnd(AttemptResult::NotSent, "the endpoint does not name its start");
        return false;
    }
    const auto startedMs = status == statusOk ? m_codec.parseStartTime(body) : std::nullopt;
    if (startedMs && *startedMs != m_start.startedMs) {
        m_connection->close();
        reportEnd(AttemptResult::Misdirected, "another incarnation has the address");
        return false;
    }
    return true;
}

} // namespace monsoonsail
