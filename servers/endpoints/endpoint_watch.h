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
    void suspectedByPeer(EndpointHash endpoint, Instant now);
    /// The endpoint wants nothing from this instance until then.
    void closed(const EndpointId &endpoint, Instant until);
    void removed(const EndpointId &endpoint);

    /// Returns until when the endpoint wants nothing from this instance, or Instant::min().
    Instant closedUntil(const EndpointId &endpoint, Instant now) const;
    /// Whether a run that can't go elsewhere may be sent to the endpoint now; counts it if the
    /// endpoint is closed, since it stands for a few.
    bool takeUnavoidable(const EndpointId &endpoint, Instant now);

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
    struct Closing
    {
        Instant until;
        unsigned unavoidable = 0; ///< Runs sent meanwhile.
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
        Instant believedUntil = Instant::min(); ///< A peer's suspicion was acted on.
    };

    void takeWaiting(std::vector<EndpointId> &silent, Instant now);
    bool isSuspectAtPeers(const EndpointId &endpoint, Instant now) const;
    static void decay(Health &health, Instant now);

    std::map<AttemptNumber, Attempt> m_attempts;
    std::map<EndpointId, Health> m_endpoints;
    std::unordered_map<EndpointHash, Instant> m_peerSuspectUntil;
    std::map<EndpointId, Closing> m_closed;
};

} // namespace monsoonsail
