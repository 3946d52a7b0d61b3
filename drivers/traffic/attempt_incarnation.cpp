#include "drivers/traffic/attempt.h"

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
    if (head.status >= firstServerErrorStatus) {
        m_connection->close();
        reportEnd(AttemptResult::NotSent, "the endpoint does not name its start");
        return;
    }
    const auto startedMs = head.status == statusOk ? m_codec.parseStartTime(m_body) : std::nullopt;
    m_body.clear();
    if (startedMs && *startedMs != m_start.startedMs) {
        m_connection->close();
        reportEnd(AttemptResult::Misdirected, "another incarnation has the address");
        return;
    }
    if (!head.keepAlive) {
        m_connection->close();
        m_wasClosedAfterCheck = true;
        reportEnd(AttemptResult::NotSent, "the endpoint closes the connection");
        return;
    }
    m_connection->incarnationCheckStatus = head.status;
    startReader();
    sendRequest();
}

} // namespace monsoonsail
