#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/rollout/expected_times.h"
#include "servers/rollout/rollout_traffic.h"
#include "servers/rollout/version_counts.h"
#include "servers/rollout/version_evidence.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace monsoonsail {

/// An attempt that begins, as far as the evidence about its version is concerned.
struct EvidenceRun
{
    ServiceId service;
    SoftwareVersion software;
    std::uint64_t routeHash = 0;
    bool isStream = false;
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that the endpoint has to read.
};

/// Counts how the software versions of a service answer while a new one is rolled out, on this
/// instance and its peers together. Versions are compared with each other on the same route, under
/// the load of a live service, so times are relative to those of the versions in service.
class RolloutEvidence
{
public:
    /// `traffic` knows the orders; it must outlive the object.
    explicit RolloutEvidence(const RolloutTraffic &traffic)
        : m_traffic(traffic)
    { }

    void recordStart(AttemptNumber attempt, const EvidenceRun &run, Instant now);
    /// Records events of a stream.
    void recordEvents(AttemptNumber attempt, std::uint32_t events, Instant firstAt, Instant lastAt);
    /// Records that the endpoint gave a whole answer.
    void recordAnswer(AttemptNumber attempt, Instant now);
    /// Records that the endpoint gave a server error or broke its answer off.
    void recordFailure(AttemptNumber attempt);
    /// Records that this instance cancelled the attempt. It counts if it has taken much longer than
    /// expected: a hedge, or a caller that gives up, would hide a slow version otherwise.
    void recordCancel(AttemptNumber attempt, Instant now);
    /// Forgets an attempt whose end says nothing about its version.
    void discard(AttemptNumber attempt) { m_runs.erase(attempt); }

    /// Applies the counts in a peer's digest. Those of another order than the current are dropped.
    void applyPeerEvidence(const std::string &instance, const std::string &incarnation,
                           std::span<const VersionEvidence> evidence);
    /// Returns this instance's counts for its next digest: some of them in turn if there are many,
    /// and none of services without an open order.
    std::vector<VersionEvidence> nextDigestEvidence();
    /// Returns the sums of this instance and its peers for the service's current order, including
    /// what peers that have died reported.
    std::vector<VersionEvidence> totals(const ServiceId &service) const;

private:
    struct Run
    {
        EvidenceRun start;
        Instant startedAt;
        std::uint32_t events = 0;
        Instant firstEventAt;
        Instant lastEventAt;
        bool isPaceCounted = false; ///< Whether its time per event has been counted.
    };
    /// Counts of one order.
    struct ServiceEvidence
    {
        LogOffset order = 0;
        VersionCounts own;
        /// By instance and incarnation, so that a restarted peer adds to what it had reported.
        std::map<std::pair<std::string, std::string>, VersionCounts> peers;
    };

    /// Returns the counts of the service's open order, or nullptr if it has none.
    ServiceEvidence *openEvidence(const ServiceId &service);
    VersionEvidence *ownCounts(const EvidenceRun &run);
    /// Returns a time divided by the expected one, or 0 if none is known.
    double ratio(const EvidenceRun &run, ExpectedTimes::Kind kind, Duration time) const;
    void countTime(const EvidenceRun &run, ExpectedTimes::Kind kind, Duration time);
    void countPace(Run &run);

    const RolloutTraffic &m_traffic;
    std::unordered_map<AttemptNumber, Run> m_runs;
    std::map<ServiceId, ExpectedTimes> m_expectedTimes;
    std::map<ServiceId, ServiceEvidence> m_services;
    std::size_t m_digestCursor = 0; ///< Of the records, the next one to be sent.
};

} // namespace monsoonsail
