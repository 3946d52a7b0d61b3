#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <vector>

namespace monsoonsail {

/// How an attempt ended, as far as its endpoint is concerned.
enum class EndpointVerdict {
    Good,
    Failed,    ///< It failed, fell silent or broke off.
    Refused,   ///< It declined, or did not accept a connection.
    Unrelated, ///< It was cancelled for reasons of our own.
};

/// Judges endpoints by what their requests show.
class EndpointWatch
{
public:
    void started(AttemptNumber attempt, const EndpointId &endpoint, bool isStream, Instant now);
    /// Told of events of a stream.
    void progressed(AttemptNumber attempt, Instant at);
    void ended(AttemptNumber attempt, EndpointVerdict verdict, Instant now);
    /// A peer reports that the endpoint is suspect.
    void suspectedByPeer(const EndpointId &endpoint, Instant now);
    void removed(const EndpointId &endpoint) { m_endpoints.erase(endpoint); }

    /// Returns the part of recent attempts that failed, between 0 and 1.
    double failureRate(const EndpointId &endpoint, Instant now) const;
    /// Returns the usual time to a whole answer, or nothing known: zero.
    Duration usualTime(const EndpointId &endpoint) const;
    /// Whether work should go elsewhere for now.
    bool isSuspect(const EndpointId &endpoint, Instant now) const;
    /// Whether this instance itself suspects the endpoint.
    bool isSuspectHere(const EndpointId &endpoint, Instant now) const;
    /// Returns the endpoints that have just fallen silent although they run streams of ours. Those
    /// whose streams have had events are suspected from now on; where a stream still waits for its
    /// first event, a peer has to suspect the endpoint.
    std::vector<EndpointId> takeSilent(Instant now);

private:
    struct Attempt
    {
        EndpointId endpoint;
        Instant startedAt;
        bool isStream = false;
        bool hasEvents = false;
    };
    struct Health
    {
        unsigned streaming = 0; ///< Running streams that have had events.
        Instant lastSign;       ///< Last event or answer.
        double good = 0;        ///< Recent attempts; decay over time.
        double bad = 0;
        Instant decayedAt;
        double usualMs = 0;
        Instant suspectUntil = Instant::min();
        Instant peerSuspectUntil = Instant::min();
        Instant believedUntil = Instant::min(); ///< A peer's suspicion was acted on.
    };

    void takeWaiting(std::vector<EndpointId> &silent, Instant now);
    static void decay(Health &health, Instant now);

    std::map<AttemptNumber, Attempt> m_attempts;
    std::map<EndpointId, Health> m_endpoints;
};

} // namespace monsoonsail
