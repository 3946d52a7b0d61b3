#pragma once

#include "core/instant.h"
#include "servers/configuration/configuration_fault.h"
#include "servers/serving/serving_limits.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Bounds for callers. Those that are 0 follow from the memory and the descriptors.
struct CallerSettings
{
    std::size_t maxConnections = 0;
    std::size_t maxLocalConnections = 64; ///< To each of the other TCP addresses.
    std::size_t requestBytes = 0;
    std::size_t unreadBytes = 0;
    Duration requestTime = std::chrono::seconds(600);
};

/// Settings of an entry daemon, read from its TOML file.
struct ServingSettings
{
    std::string instance;      ///< Name of this instance on the platform.
    std::string zone;          ///< Availability zone of this instance.
    std::string callerListen;  ///< "IP:port" for callers.
    std::string readyListen;   ///< "IP:port" for readiness checks of the load balancer.
    std::string controlListen; ///< "IP:port" for other entry instances.
    std::string metricsListen; ///< "IP:port" for metrics; empty for none.
    std::string digestListen;  ///< "IP:port" that receives digests of other entry instances.
    std::string storeAddress;  ///< "IP:port" of the platform's store.
    std::string dutyAddress;   ///< "IP:port" of the platform's API for duties.
    std::vector<std::string> peerAddresses; ///< Digest addresses of some entry instances.
    ServingLimits limits;
    Duration stopGrace{};              ///< Time between SIGTERM and SIGKILL.
    std::size_t memoryBytes = 0;       ///< Memory that the process may use.
    std::size_t maxDescriptors = 0;    ///< Descriptors that it may open; 0 for the process's limit.
    std::size_t digestMemoryBytes = 0; ///< For the digests of all other instances.
    CallerSettings callers;
};

/// Reads settings from TOML text. `file` is the file name in reported faults.
ServingSettings readServingSettings(std::string_view text, const std::string &file,
                                    std::vector<ConfigurationFault> &faults);

} // namespace monsoonsail
