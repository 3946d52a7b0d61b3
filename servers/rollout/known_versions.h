#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <map>
#include <set>

namespace monsoonsail {

/// The software versions of a service whose endpoints are listed, and when they first were.
class KnownVersions
{
public:
    /// Updates the versions. Those that are listed first are ordinary from the start.
    void observe(const std::set<SoftwareVersion> &listed, Instant now);
    /// Whether the version has appeared within the last `newTime`, beside versions that were there
    /// before it.
    bool isNew(const SoftwareVersion &software, Duration newTime, Instant now) const;

private:
    struct Version
    {
        Instant firstSeenAt;
        Instant lastSeenAt;
    };

    std::map<SoftwareVersion, Version> m_versions;
};

} // namespace monsoonsail
