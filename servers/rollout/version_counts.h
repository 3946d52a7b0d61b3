#pragma once

#include "core/identifiers.h"
#include "servers/rollout/version_evidence.h"

#include <cstdint>
#include <map>
#include <utility>

namespace monsoonsail {

/// Evidence about the versions of one service, by version and route.
using VersionCounts = std::map<std::pair<SoftwareVersion, std::uint64_t>, VersionEvidence>;

/// Adds the counts of one instance to those of others.
void addEvidence(VersionEvidence &sum, const VersionEvidence &part);
/// Whether `evidence`, of the same instance, version and route, was counted after `known`: counts
/// only grow.
bool isNewerEvidence(const VersionEvidence &evidence, const VersionEvidence &known);

} // namespace monsoonsail
