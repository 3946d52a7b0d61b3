#include "servers/duties/duty_election.h"

#include "core/json_fields.h"
#include "core/json_text.h"
#include "core/store_error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::string_view topic = "keyed.duties";
constexpr std::string_view key = "holder";
/// Time between two reads of the claims while the duties seem to have no holder.
constexpr Duration claimReadInterval = std::chrono::milliseconds(500);
/// Delay between the claims of instances that follow each other by name, so that they rarely race.
constexpr Duration rankDelay = std::chrono::milliseconds(300);
/// For platforms that do not check fencing numbers: how long a read of the claims allows the holder
/// to act, and the time from one read to the next.
constexpr Duration verificationValidity = std::chrono::milliseconds(600);
constexpr Duration verificationInterval = std::chrono::milliseconds(300);
/// On such platforms, a new holder starts to act after this time, when the previous one has stopped
/// and its last calls have arrived.
constexpr Duration handoverDelay = std::chrono::milliseconds(1500);
/// Shortest time without a holder before a claim. A first holder is needed soon, but the digests of
/// the others should arrive before.
constexpr Duration firstClaimDelay = std::chrono::milliseconds(1000);

/// Returns the fencing number of a claim. Offsets begin at 0, but the number 0 means that there is
/// none.
std::uint64_t fencingNumberOf(LogOffset offset)
{
    return offset + 1;
}

} // namespace

DutyElection::DutyElection(Identity self, Rules rules, RecordLog &log, std::function<Instant()> now,
                           DecisionLog &decisions)
    : m_self(std::move(self))
    , m_rules(rules)
    , m_log(log)
    , m_now(std::move(now))
    , m_decisions(decisions)
    , m_holderLastSeenAt(m_now())
{ }

void DutyElection::advance(const Mesh &mesh)
{
    const Instant now = m_now();
    if (isHeldByLivePeer(mesh)) {
        m_holderLastSeenAt = now;
        if (m_fencingNumber != 0)
            stepDown("another instance holds the duties");
        return;
    }
    verifyClaim();
    if (m_fencingNumber != 0 || m_isCallPending || m_isReleased || now < m_nextReadAt)
        return;
    m_nextReadAt = now + claimReadInterval;
    if (!m_holder || now < claimDueAt(mesh)) {
        if (!m_holder)
            readClaims();
        return;
    }
    // Read the claims again before appending one, since another instance may have been faster.
    readClaims();
}

bool DutyElection::mayAct() const
{
    if (m_rules.platformChecksFencing)
        return true;
    const Instant now = m_now();
    return now >= m_mayActFrom && now < m_verifiedAt + verificationValidity;
}

std::uint64_t DutyElection::announcedFencingNumber() const
{
    const Instant until = std::max(m_mayActFrom, m_verifiedAt + m_rules.lease);
    return m_rules.platformChecksFencing || m_now() < until ? m_fencingNumber : 0;
}

/// Reads the claims at intervals to see whether another instance has claimed the duties. A holder
/// that was frozen, or whose digests no longer reach the others, may still reach the platform.
void DutyElection::verifyClaim()
{
    if (m_rules.platformChecksFencing || m_fencingNumber == 0 || m_isCallPending
        || m_now() < m_callStartedAt + verificationInterval)
        return;
    readClaims();
}

bool DutyElection::isHeldByLivePeer(const Mesh &mesh) const
{
    const Instant now = m_now();
    return std::ranges::any_of(mesh.peers(), [this, now](const auto &entry) {
        return Mesh::isLive(entry.second, now)
                && entry.second.digest.fencingNumber > m_fencingNumber;
    });
}

Instant DutyElection::claimDueAt(const Mesh &mesh) const
{
    const Instant now = m_now();
    int rank = 0;
    for (const auto &[name, peer] : mesh.peers()) {
        if (Mesh::isLive(peer, now) && !peer.digest.isStopping && name < m_self.instance)
            ++rank;
    }
    // A silent holder may still act, so it keeps the duties for the lease. A live holder
    // that doesn't announce them, a peer or this instance, has restarted or given them up.
    Duration requiredSilence = m_rules.lease;
    if (m_holder->instance.empty() || m_holder->instance == m_self.instance)
        requiredSilence = Duration::zero();
    const auto holder = mesh.peers().find(m_holder->instance);
    if (holder != mesh.peers().end() && Mesh::isLive(holder->second, now))
        requiredSilence = Duration::zero();
    return m_holderLastSeenAt + std::max(requiredSilence, firstClaimDelay) + rankDelay * rank;
}

void DutyElection::readClaims()
{
    m_isCallPending = true;
    m_callStartedAt = m_now();
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        handleClaimsRead(error, records);
    });
}

void DutyElection::handleClaimsRead(std::error_code error, const LogRecords &records)
{
    m_isCallPending = false;
    if (error)
        return;
    Claim newestClaim;
    for (const LogRecord &record : records.records) {
        if (record.key != key)
            continue;
        // A claim that can't be read names no holder, but its offset has been used.
        const nlohmann::json claim = parseJson(record.value);
        newestClaim = {.instance = stringField(claim, "instance").value_or(""),
                       .incarnation = stringField(claim, "incarnation").value_or(""),
                       .offset = record.offset};
    }
    if (m_fencingNumber != 0) {
        if (!newestClaim.offset)
            stepDown("the store has lost the claim");
        else if (fencingNumberOf(*newestClaim.offset) == m_fencingNumber)
            m_verifiedAt = m_callStartedAt;
        else
            stepDown("another instance has claimed the duties");
        return;
    }
    const Instant now = m_now();
    const bool isUnchanged = m_holder && m_holder->incarnation == newestClaim.incarnation
            && m_holder->offset == newestClaim.offset;
    if (!isUnchanged) {
        m_holder = newestClaim;
        m_holderLastSeenAt = now;
        m_topicEnd = records.end;
        return;
    }
    m_topicEnd = records.end;
    if (!m_isReleased && m_fencingNumber == 0)
        appendClaim(m_topicEnd);
}

void DutyElection::appendClaim(LogOffset end)
{
    m_callStartedAt = m_now();
    const nlohmann::json record{{"instance", m_self.instance}, {"incarnation", m_self.incarnation}};
    m_isCallPending = true;
    m_log.append(topic, key, toJsonText(record), end,
                 [this](std::error_code error, LogOffset offset) {
                     handleClaimAppended(error, offset);
                 });
}

void DutyElection::handleClaimAppended(std::error_code error, LogOffset offset)
{
    m_isCallPending = false;
    if (error) {
        // The claim may have been stored although its answer was lost. Then the next read finds it
        // as a claim of this instance, which claims again without waiting for the lease.
        m_decisions.write(LogLevel::Info, "duty-claim-failed", {}, {{"error", error.message()}});
        return;
    }
    m_holder = {.instance = m_self.instance, .incarnation = m_self.incarnation, .offset = offset};
    m_holderLastSeenAt = m_now();
    m_fencingNumber = fencingNumberOf(offset);
    m_verifiedAt = m_callStartedAt;
    m_mayActFrom = m_now() + handoverDelay;
    m_decisions.write(LogLevel::Info, "duties-claimed", {},
                      {{"fencing_number", static_cast<std::int64_t>(m_fencingNumber)}});
}

void DutyElection::onFenced()
{
    if (m_fencingNumber != 0)
        stepDown("the platform has seen a higher fencing number");
}

void DutyElection::release()
{
    m_isReleased = true;
    if (m_fencingNumber != 0)
        stepDown("this instance is stopping");
}

void DutyElection::stepDown(std::string_view reason)
{
    m_decisions.write(
            LogLevel::Info, "duties-given-up", {},
            {{"fencing_number", static_cast<std::int64_t>(m_fencingNumber)}, {"reason", reason}});
    m_fencingNumber = 0;
    m_holderLastSeenAt = m_now();
    m_holder.reset();
}

} // namespace monsoonsail
