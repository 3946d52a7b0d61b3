#pragma once

#include "core/instant.h"
#include "servers/configuration/configuration_fault.h"
#include "servers/serving/serving_limits.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Settings of one entry daemon on the users' platform, read from its TOML file.
struct ServingSettings
{
    std::string instance;                   ///< Name of this instance at the platform.
    std::string zone;                       ///< Its availability zone.
    std::string callerListen;               ///< "IP:port" for callers.
    std::string readyListen;                ///< "IP:port" for the balancer's readiness checks.
    std::string controlListen;              ///< "IP:port" for other entry instances.
    std::string metricsListen;              ///< "IP:port" for metrics; empty for none.
    std::string digestListen;               ///< "IP:port" for the digests of other entry instances.
    std::string storeAddress;               ///< "IP:port" of the platform's store.
    std::string dutyAddress;                ///< "IP:port" of the platform's API for duties.
    std::vector<std::string> peerAddresses; ///< Digest addresses of some entry instances.
    ServingLimits limits;
    Duration stopGrace{}; ///< From SIGTERM to SIGKILL.
};

/// Reads settings from TOML text. `file` is the name that faults report.
ServingSettings readServingSettings(std::string_view text, const std::string &file,
                                    std::vector<ConfigurationFault> &faults);

} // namespace monsoonsail
