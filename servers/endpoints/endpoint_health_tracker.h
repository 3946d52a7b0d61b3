#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// What the end of an attempt says about the health of its endpoint.
enum class EndpointVerdict {
    Succeeded,
    Failed,       ///< The endpoint failed, fell silent or broke the connection off.
    Refused,      ///< The endpoint declined the request or the connection.
    Inconclusive, ///< This instance cancelled or moved the attempt.
};

/// Estimates the health of endpoints from the attempts that this instance runs on them, from status
/// checks and from the suspicions that other entry instances report.
class EndpointHealthTracker
{
public:
    /// Timeout of a status check: a round trip between availability zones, and one lost packet.
    static constexpr Duration checkTimeout = std::chrono::milliseconds(400);
    /// Time after which the endpoint of a stream without any event is checked, if it answers
    /// nothing else meanwhile.
    static constexpr Duration firstEventCheckDelay = std::chrono::milliseconds(600);
    /// Time from the begin of a check until which its answer is still awaited after the timeout. It
    /// exceeds the time to the next check, so that a silence that ends between them is noticed.
    static constexpr Duration checkWatchTime = std::chrono::milliseconds(2600);

    void recordAttemptStart(AttemptNumber attempt, const EndpointId &endpoint, bool isStream,
                            Instant now);
    /// Records that the attempt's stream had an event.
    void recordStreamEvent(AttemptNumber attempt, Instant at);
    void recordAttemptEnd(AttemptNumber attempt, EndpointVerdict verdict, Instant now);
    /// Records that a peer reports the endpoint as suspect, which counts until `until`.
    void recordPeerSuspicion(EndpointHash endpoint, Instant until);
    /// Returns the endpoints whose streams of this instance have paused for so long that the
    /// endpoint may have failed, and records that a status check of each one begins.
    std::vector<EndpointId> beginDueChecks(Instant now);
    /// Records the end of a status check. Returns whether the endpoint has failed: it answered
    /// neither the check nor, since the check began, a request. It then is suspect.
    bool recordCheckEnd(const EndpointId &endpoint, bool isResponsive, Instant now);
    /// Records the end of a status check that shows nothing about the endpoint.
    void recordInconclusiveCheck(const EndpointId &endpoint);
    /// Returns the endpoints that have left a status check unanswered and have not been checked
    /// again although it is time to.
    std::vector<EndpointId> unconfirmedSilences(Instant now) const;
    /// Records that a status check of the endpoint begins.
    void beginCheck(const EndpointId &endpoint, Instant now);
    /// Records that the endpoint answered a request, whatever it said.
    void recordAnswer(const EndpointId &endpoint);
    /// Returns for how long the endpoint has answered nothing, as far as status checks show it:
    /// from the begin of the first unanswered one to the end of the last one.
    Duration unansweredTime(const EndpointId &endpoint) const;
    /// Returns the endpoints that have newly stalled: they answer status checks, but none of their
    /// streams of this instance has had an event for long. If no stream has had any, a peer must
    /// suspect the endpoint. They then are suspect.
    std::vector<EndpointId> detectStalled(Instant now);
    /// Records that the endpoint has asked this instance to send no requests until `until`.
    void closeUntil(const EndpointId &endpoint, Instant until);
    void remove(const EndpointId &endpoint);

    /// Returns until when the endpoint takes no requests from this instance, or Instant::min() if
    /// it takes them now.
    Instant closedUntil(const EndpointId &endpoint, Instant now) const;
    /// Whether a run that can't use another endpoint may be sent to this one now. While the
    /// endpoint is closed to this instance, counts such runs and admits only a few.
    bool admitUnavoidableRun(const EndpointId &endpoint, Instant now);

    /// Returns the fraction of recent attempts that failed.
    double failureRate(const EndpointId &endpoint, Instant now) const;
    /// Returns the typical time to a complete answer, or zero if none is known.
    Duration typicalAnswerTime(const EndpointId &endpoint) const;
    /// Whether this instance or a peer suspects the endpoint, so that work should avoid it for now.
    bool isSuspect(const EndpointId &endpoint, Instant now) const;
    /// Whether this instance itself suspects the endpoint.
    bool isSuspectLocally(const EndpointId &endpoint, Instant now) const;
    /// Returns the endpoints that have recently failed a status check or stalled.
    std::vector<EndpointId> silentEndpoints(Instant now) const;

private:
    struct Attempt
    {
        EndpointId endpoint;
        Instant startedAt;
        bool isStream = false;
        bool hasEvents = false;
    };
    struct Closure
    {
        Instant until;
        unsigned unavoidableRuns = 0; ///< Unavoidable runs requested while closed.
    };
    struct Health
    {
        unsigned activeStreams = 0; ///< Running streams that have had events.
        Instant lastActivityAt;     ///< Time of the last event or answer.
        double succeeded = 0;       ///< Number of recent attempts that succeeded; decays.
        double failed = 0;
        Instant decayedAt;
        double typicalAnswerMs = 0;
        Instant suspectUntil = Instant::min();
        Instant silentUntil = Instant::min();  ///< Suspect because it failed a check or stalled.
        Instant checkBegunAt = Instant::min(); ///< Begin of the last status check.
        bool isCheckRunning = false;
        /// From the begin of the first to the end of the last status check in a row that were not
        /// answered; Instant::max() if there is none.
        Instant unansweredSince = Instant::max();
        Instant unansweredUntil = Instant::max();
        Instant unansweredCheckAt = Instant::min(); ///< Begin of the last one of them.
    };

    static bool mayCheck(const Health &health, Instant now);
    static void clearUnanswered(Health &health);
    static void recordUnansweredCheck(Health &health, Instant now);
    static void markSilent(Health &health, Instant now);
    bool isSuspectedByPeers(const EndpointId &endpoint, Instant now) const;
    static void decay(Health &health, Instant now);

    std::map<AttemptNumber, Attempt> m_attempts;
    std::map<EndpointId, Health> m_endpoints;
    std::unordered_map<EndpointHash, Instant> m_peerSuspectUntil;
    std::map<EndpointId, Closure> m_closed;
};

} // namespace monsoonsail
