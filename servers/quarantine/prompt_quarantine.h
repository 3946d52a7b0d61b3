#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/decision_log.h"
#include "servers/quarantine/crash_suspect.h"
#include "servers/quarantine/part_verdict.h"
#include "servers/quarantine/quarantine_trials.h"
#include "servers/quarantine/recent_parts.h"
#include "servers/quarantine/verdict_finder.h"
#include "servers/serving/prompt_part.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Finds the prompt parts under which endpoints end wherever they run, from the ends that all entry
/// instances report, and keeps them from being sent on. Everything it keeps is bounded.
class PromptQuarantine
{
public:
    /// Why a request is not sent on.
    struct Refusal
    {
        PartVerdict verdict; ///< On the part with the latest end.
        RequestEvidence evidence;
        Instant retryAt;
        Instant trialAt; ///< When such a request may be sent on to find out more.
    };

    explicit PromptQuarantine(DecisionLog &log);

    void setTurnChooser(QuarantineTrials::TurnChooser chooser)
    {
        m_trials.setTurnChooser(std::move(chooser));
    }
    /// Sets the function to call when the other instances should have a digest at once.
    void setNewsHandler(std::function<void()> handler) { m_newsHandler = std::move(handler); }

    /// Records that an endpoint ended while it had not yet written much of an answer to a request
    /// with these shared parts.
    void recordCrash(const ServiceId &service, std::span<const PromptPart> parts,
                     const EndpointId &endpoint, Instant now);
    /// Records that an endpoint went on to write an answer to a request with these shared parts.
    void recordSoundRun(const ServiceId &service, std::span<const PromptPart> parts, Instant now);
    /// Records that an endpoint answers, so it has not ended.
    void recordActivity(const EndpointId &endpoint, Instant at);
    void applyPeerDigest(const Peer &peer);
    /// Adds what this instance knows to its digest.
    void fillDigest(Digest &digest, Instant now) const;
    /// Forgets evidence that is too old. Called several times a second.
    void expire(Instant now);

    /// Returns the verdict on one of the parts, or std::nullopt if the parts may be sent on.
    std::optional<PartVerdict> find(const ServiceId &service,
                                    std::span<const PromptPart> parts) const;
    /// Returns why the request may not be sent on, or std::nullopt if it may. Lets single requests
    /// with quarantined parts through: a trial, which has to end with endTrial().
    std::optional<Refusal> admit(const ServiceId &service, std::span<const PromptPart> parts,
                                 RequestNumber request, Instant now);
    /// Whether the request tells quarantined parts apart, so that it may have one run only.
    bool isTrial(RequestNumber request) const { return m_trials.isTrial(request); }
    void endTrial(RequestNumber request) { m_trials.end(request); }
    std::size_t quarantinedCount() const { return m_verdicts.size(); }
    std::size_t suspectCount() const { return m_suspects.size(); }

private:
    using HeldParts = std::vector<const PartVerdict *>;

    /// Evidence is in each digest for this time, so that a few of them may get lost, and only in
    /// complete ones after it.
    static constexpr Duration evidenceReportTime = std::chrono::seconds(3);

    /// Returns whether the evidence is new.
    bool addCrash(PartHash part, std::uint32_t position, EndpointHash endpoint, Instant at);
    void makeRoom();
    /// Returns the number of ends that were removed.
    std::size_t removeCrashesBefore(PartHash part, Instant soundAt);
    void markLive(EndpointHash endpoint, Instant at);
    std::optional<Instant> lastSoundRun(PartHash part) const;
    /// Returns whether the parts that are not sent on have changed.
    bool updateVerdicts();
    void logChanges(const PartVerdicts &before) const;
    HeldParts heldParts(const std::set<PartHash> &parts) const;

    DecisionLog &m_log;
    std::function<void()> m_newsHandler = [] {};
    QuarantineTrials m_trials;
    CrashSuspects m_suspects;
    PartVerdicts m_verdicts;
    RecentParts m_soundRuns;                     ///< On endpoints that this instance used.
    std::map<PartHash, Instant> m_peerSoundRuns; ///< As peers report them, for suspects only.
    /// Parts that peers may suspect wrongly, until when digests report their sound runs.
    std::map<PartHash, Instant> m_clearances;
    /// Ends that this instance has seen itself, by part; new ones only.
    std::map<std::pair<PartHash, EndpointHash>, Instant> m_ownCrashes;
    EndpointEnds m_ends;                             ///< Those of all suspects.
    std::map<EndpointHash, Instant> m_liveEndpoints; ///< Reported as ended, but seen alive since.
    Instant m_expiredAt;
};

} // namespace monsoonsail
