#pragma once

#include "core/identifiers.h"

namespace monsoonsail {

/// Which software versions of a service the fleet is planned for.
class FleetVersions
{
public:
    virtual ~FleetVersions() = default;

    /// Whether the engines of the version are meant to stay: not a second set for a trial, and not
    /// the set that is taken away.
    virtual bool isServing(const ServiceId &service, const SoftwareVersion &software) const = 0;
    /// Whether two sets of engines run side by side for a roll-out that is not decided.
    virtual bool isRollingOut(const ServiceId &service) const = 0;
};

} // namespace monsoonsail
