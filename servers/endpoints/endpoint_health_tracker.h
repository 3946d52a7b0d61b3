#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"

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

/// Estimates the health of endpoints from the attempts that this instance runs on them and from the
/// suspicions that other entry instances report.
class EndpointHealthTracker
{
public:
    void recordAttemptStart(AttemptNumber attempt, const EndpointId &endpoint, bool isStream,
                            Instant now);
    /// Records that the attempt's stream had an event.
    void recordStreamEvent(AttemptNumber attempt, Instant at);
    void recordAttemptEnd(AttemptNumber attempt, EndpointVerdict verdict, Instant now);
    /// Records that a peer reports the endpoint as suspect.
    void recordPeerSuspicion(EndpointHash endpoint, Instant now);
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
    /// Returns the endpoints that have newly fallen silent while they run streams of this instance.
    /// If the streams have had events, the endpoint becomes suspect. If a stream still waits for
    /// its first event, the endpoint is only returned if a peer suspects it.
    std::vector<EndpointId> detectSilent(Instant now);

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
        /// Until this instant, suspicions of peers don't make detectSilent() return the endpoint
        /// again.
        Instant peerSuspicionUsedUntil = Instant::min();
    };

    void detectSilentByPeers(std::vector<EndpointId> &silent, Instant now);
    bool isSuspectedByPeers(const EndpointId &endpoint, Instant now) const;
    static void decay(Health &health, Instant now);

    std::map<AttemptNumber, Attempt> m_attempts;
    std::map<EndpointId, Health> m_endpoints;
    std::unordered_map<EndpointHash, Instant> m_peerSuspectUntil;
    std::map<EndpointId, Closure> m_closed;
};

} // namespace monsoonsail
