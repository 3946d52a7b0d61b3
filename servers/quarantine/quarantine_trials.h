#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/mesh.h"
#include "servers/serving/prompt_part.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace monsoonsail {

/// Lets single requests through to tell prompt parts apart that explain the same ends of endpoints:
/// one at a time over all entry instances.
class QuarantineTrials
{
public:
    /// Returns whether this instance is among the `count` ones that `seed` chooses of all.
    using TurnChooser = std::function<bool(std::uint64_t seed, unsigned count, Instant now)>;

    void setTurnChooser(TurnChooser chooser) { m_isChosen = std::move(chooser); }
    /// Whether this instance may begin a trial of one of the parts now. `trialAt` is the instant
    /// from which on a trial is due.
    bool mayBegin(std::span<const PartHash> parts, Instant trialAt, Instant now) const;
    /// Returns when the last trial of one of the parts began, or Instant::min() if that was long
    /// ago or never.
    Instant lastBeginOf(std::span<const PartHash> parts) const;
    void begin(RequestNumber request, std::span<const PartHash> parts, Instant now);
    void end(RequestNumber request) { m_own.erase(request); }
    bool isTrial(RequestNumber request) const { return m_own.contains(request); }
    void applyPeerDigest(const Peer &peer);
    void fillDigest(Digest &digest, Instant now) const;
    void expire(Instant now);

private:
    struct Trial
    {
        std::vector<PartHash> parts;
        Instant resultDueAt; ///< Later, it doesn't hold up other trials.
    };

    static bool isRunning(const Trial &trial, std::span<const PartHash> parts, Instant now);

    TurnChooser m_isChosen = [](std::uint64_t, unsigned, Instant) { return true; };
    std::map<RequestNumber, Trial> m_own;
    std::map<std::string, std::vector<Trial>> m_peerTrials; ///< By the peer's instance name.
    std::map<PartHash, Instant> m_lastBegins;               ///< Of all instances.
};

} // namespace monsoonsail
