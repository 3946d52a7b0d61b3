#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/rollout/rollout_state.h"
#include "servers/rollout/version_evidence.h"

#include <string_view>
#include <vector>

namespace monsoonsail {

/// What the decisions about roll-outs know of their traffic and do to it.
class RolloutView
{
public:
    virtual ~RolloutView() = default;

    /// Returns the newest known state of each service, whatever this instance knows it from.
    virtual std::vector<RolloutState> states() const = 0;
    /// Takes a state over unless a newer one of the service is known.
    virtual void apply(const RolloutState &state, Instant now) = 0;
    /// Stops sending requests from this instance to the target of the service's present order.
    virtual void suspend(const ServiceId &service, std::string_view reason) = 0;
    /// Returns the answers of all instances since the service's present order.
    virtual std::vector<VersionEvidence> evidence(const ServiceId &service) const = 0;
    /// Returns the number of requests that run on endpoints of the service that do not have this
    /// version, over all instances.
    virtual double runsBeside(const ServiceId &service, const SoftwareVersion &target) const = 0;
};

} // namespace monsoonsail
