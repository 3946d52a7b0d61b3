#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"
#include "servers/metering/usage_counts.h"

#include <map>
#include <string>
#include <vector>

namespace monsoonsail {

/// Counts the requests that begin to run, by metering window and client account, and collects the
/// counts of the other entry instances.
class UsageMeter
{
public:
    /// `incarnation` is that of this process.
    UsageMeter(std::string incarnation, Duration windowLength);

    /// Sets the correction that is added to the local clock, see Mesh::clockCorrection().
    void setClockCorrection(Duration correction) { m_correction = correction; }
    /// Counts a request that begins to run. Call once for each request.
    void countRequest(const AccountId &account, Instant at);
    /// Records the counts of an incarnation of an entry instance. A lower count than the known one
    /// has no effect.
    void recordCounts(const std::string &incarnation, WindowNumber window,
                      const UsageCounts &counts);
    /// Applies the counts of a peer's newest digest.
    void applyPeerDigest(const Peer &peer);

    /// Returns the window that contains an instant.
    WindowNumber windowAt(Instant at) const;
    /// Returns the instant at which a window ends.
    Instant windowEnd(WindowNumber window) const;
    /// Returns this process's counts of a window.
    UsageCounts ownCounts(WindowNumber window) const;
    /// Returns the counts of all entry instances for a window.
    UsageCounts totalCounts(WindowNumber window) const;
    /// Returns this process's counts of the newest windows for a digest.
    std::vector<Digest::UsageCount> recentOwnCounts() const;
    /// Drops the counts of windows before `window`.
    void forgetBefore(WindowNumber window);

private:
    const std::string m_incarnation;
    const Duration m_windowLength;
    Duration m_correction{};
    std::map<WindowNumber, std::map<std::string, UsageCounts>> m_counts; ///< By incarnation.
};

} // namespace monsoonsail
