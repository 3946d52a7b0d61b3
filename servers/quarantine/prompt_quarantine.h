#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/decision_log.h"
#include "servers/quarantine/recent_parts.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace monsoonsail {

/// Finds the prompt parts under which endpoints end wherever they run, from the ends that all entry
/// instances report, and keeps them from being sent on. Everything it keeps is bounded.
class PromptQuarantine
{
public:
    /// A part that is not sent on.
    struct Verdict
    {
        PartHash part = 0;
        std::uint32_t crashes = 0; ///< Ends of endpoints that it explains.
        Instant lastCrashAt;
        Instant trialAt; ///< From then on, single requests with the part are tried again.
    };
    /// Returns whether this instance, among all, is the one to make the trial `seed` now.
    using TrialChooser = std::function<bool(std::uint64_t seed, Instant now)>;

    explicit PromptQuarantine(DecisionLog &log);

    void setTrialChooser(TrialChooser chooser) { m_isChosenForTrial = std::move(chooser); }

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
    std::optional<Verdict> find(const ServiceId &service, std::span<const PromptPart> parts) const;
    /// Like find(), but lets a request through if it is this instance's turn to try a part again.
    std::optional<Verdict> admit(const ServiceId &service, std::span<const PromptPart> parts,
                                 Instant now);
    std::size_t quarantinedCount() const { return m_verdicts.size(); }
    std::size_t suspectCount() const { return m_suspects.size(); }

private:
    /// A part that was in use when endpoints ended.
    struct Suspect
    {
        std::uint32_t position = 0; ///< Index in the prompt; the first parts are shared by most.
        std::map<EndpointHash, Instant> crashes;
    };
    using Suspects = std::map<PartHash, Suspect>;

    /// Returns whether the evidence is new.
    bool addCrash(PartHash part, std::uint32_t position, EndpointHash endpoint, Instant at);
    void makeRoom();
    void removeCrashesBefore(PartHash part, Instant soundAt);
    void markLive(EndpointHash endpoint, Instant at);
    std::optional<Instant> lastSoundRun(PartHash part) const;
    /// Returns the number of separate ends that the part explains beyond those in `explained`.
    std::uint32_t countCrashes(const Suspect &suspect,
                               const std::set<EndpointHash> &explained) const;
    void updateVerdicts();
    void logChanges(const std::map<PartHash, Verdict> &before) const;

    DecisionLog &m_log;
    TrialChooser m_isChosenForTrial;
    Suspects m_suspects;
    std::map<PartHash, Verdict> m_verdicts;
    RecentParts m_soundRuns;                       ///< On endpoints that this instance used.
    std::map<PartHash, Instant> m_peerSoundRuns;   ///< As peers report them, for suspects only.
    std::map<PartHash, Instant> m_outdatedReports; ///< Parts that peers suspect wrongly.
    /// Ends that this instance has seen itself, by part; new ones only.
    std::map<std::pair<PartHash, EndpointHash>, Instant> m_ownCrashes;
    std::map<EndpointHash, Instant> m_endedEndpoints;
    std::map<EndpointHash, Instant> m_liveEndpoints; ///< Reported as ended, but seen alive since.
    Instant m_expiredAt;
};

} // namespace monsoonsail
