#pragma once

#include "servers/fleet/fleet_versions.h"
#include "servers/rollout/rollout_view.h"

#include <optional>

namespace monsoonsail {

/// Knows the versions in service by the phases of the roll-outs.
class RolloutVersions : public FleetVersions
{
public:
    /// `view` must outlive the object.
    explicit RolloutVersions(const RolloutView &view)
        : m_view(view)
    { }

    bool isServing(const ServiceId &service, const SoftwareVersion &software) const override;
    bool isRollingOut(const ServiceId &service) const override;

private:
    std::optional<RolloutState> find(const ServiceId &service) const;

    const RolloutView &m_view;
};

} // namespace monsoonsail
