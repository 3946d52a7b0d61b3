#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// How an attempt ended, as far as its endpoint is concerned.
enum class EndpointVerdict {
    Succeeded,
    Failed,       ///< It failed, fell silent or broke off.
    Refused,      ///< It declined, or did not accept a connection.
    Inconclusive, ///< It was cancelled for reasons of our own.
};

/// Judges endpoints by what their requests show.
class EndpointHealthTracker
{
public:
    void recordAttemptStart(AttemptNumber attempt, const EndpointId &endpoint, bool isStream,
                            Instant now);
    /// Told of events of a stream.
    void recordStreamEvent(AttemptNumber attempt, Instant at);
    void recordAttemptEnd(AttemptNumber attempt, EndpointVerdict verdict, Instant now);
    /// A peer reports that the endpoint is suspect.
    void recordPeerSuspicion(EndpointHash endpoint, Instant now);
    /// The endpoint wants nothing from this instance until then.
    void closeUntil(const EndpointId &endpoint, Instant until);
    void remove(const EndpointId &endpoint);

    /// Returns until when the endpoint wants nothing from this instance, or Instant::min().
    Instant closedUntil(const EndpointId &endpoint, Instant now) const;
    /// Whether a run that can't go elsewhere may be sent to the endpoint now; counts it if the
    /// endpoint is closed, since it stands for a few.
    bool admitUnavoidableRun(const EndpointId &endpoint, Instant now);

    /// Returns the part of recent attempts that failed, between 0 and 1.
    double failureRate(const EndpointId &endpoint, Instant now) const;
    /// Returns the usual time to a whole answer, or nothing known: zero.
    Duration typicalAnswerTime(const EndpointId &endpoint) const;
    /// Whether work should go elsewhere for now.
    bool isSuspect(const EndpointId &endpoint, Instant now) const;
    /// Whether this instance itself suspects the endpoint.
    bool isSuspectLocally(const EndpointId &endpoint, Instant now) const;
    /// Returns the endpoints that have just fallen silent although they run streams of ours. Those
    /// whose streams have had events are suspected from now on; where a stream still waits for its
    /// first event, a peer has to suspect the endpoint.
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
        unsigned unavoidableRuns = 0; ///< Runs sent meanwhile.
    };
    struct Health
    {
        unsigned activeStreams = 0; ///< Running streams that have had events.
        Instant lastActivityAt;     ///< Last event or answer.
        double succeeded = 0;       ///< Recent attempts; decay over time.
        double failed = 0;
        Instant decayedAt;
        double typicalAnswerMs = 0;
        Instant suspectUntil = Instant::min();
        Instant peerSuspicionUsedUntil = Instant::min(); ///< A peer's suspicion was acted on.
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
