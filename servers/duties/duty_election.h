#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace monsoonsail {

/// Decides which entry instance holds the duties, and under which fencing number.
///
/// The holder is the instance with the newest claim in the store. A claim is only appended if no
/// other was appended since the last read, so the offsets of claims are fencing numbers that never
/// repeat.
class DutyElection
{
public:
    struct Identity
    {
        std::string instance;
        std::string incarnation;
    };

    struct Rules
    {
        Duration lease{}; ///< How long a silent holder keeps the duties.
        /// Whether the platform refuses calls with a lower fencing number than it has seen. If not,
        /// a holder acts only while it knows from the store that its claim is the newest.
        bool platformChecksFencing = true;
    };

    /// References must outlive the election.
    DutyElection(Identity self, Rules rules, RecordLog &log, std::function<Instant()> now,
                 DecisionLog &decisions);

    /// Claims the duties if their holder has been silent for too long, and gives them up if another
    /// instance has claimed them. Call periodically.
    void advance(const Mesh &mesh);
    /// Gives up the duties after the platform has refused the fencing number.
    void onFenced();
    /// Gives up the duties for good, for a planned stop.
    void release();

    /// Returns the fencing number while this instance holds the duties and may act, otherwise 0.
    std::uint64_t fencingNumber() const { return mayAct() ? m_fencingNumber : 0; }
    /// Returns the fencing number to announce in digests while this instance holds the duties,
    /// whether or not it may act at the moment. If the platform doesn't check fencing numbers, it
    /// becomes 0 when the claim could not be verified for a lease, so that another instance claims
    /// the duties.
    std::uint64_t announcedFencingNumber() const;

private:
    struct Claim
    {
        std::string instance;
        std::string incarnation;
        std::optional<LogOffset> offset; ///< Empty if there is no claim.
    };

    bool mayAct() const;
    void verifyClaim();
    void readClaims();
    void handleClaimsRead(std::error_code error, const LogRecords &records);
    void appendClaim(LogOffset end);
    void handleClaimAppended(std::error_code error, LogOffset offset);
    void stepDown(std::string_view reason);
    bool isHeldByLivePeer(const Mesh &mesh) const;
    Instant claimDueAt(const Mesh &mesh) const;

    const Identity m_self;
    const Rules m_rules;
    RecordLog &m_log;
    const std::function<Instant()> m_now;
    DecisionLog &m_decisions;

    std::uint64_t m_fencingNumber = 0;
    std::optional<Claim> m_holder; ///< Newest claim that was read; empty before the first read.
    LogOffset m_topicEnd = 0;      ///< End of the topic at the last read.
    Instant m_holderLastSeenAt;    ///< When the holder was last known to be alive.
    Instant m_nextReadAt;
    Instant m_callStartedAt;      ///< Start of the last call to the store.
    Instant m_verifiedAt;         ///< When the own claim was last known to be the newest.
    Instant m_mayActFrom;         ///< The previous holder may act until then.
    bool m_isCallPending = false; ///< Whether a call to the store is in progress.
    bool m_isReleased = false;
};

} // namespace monsoonsail
