#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonsail {

/// What one entry instance tells the others, several times a second. Counts run from the start of
/// the process, so a lost digest loses nothing.
struct Digest
{
    /// Time from one digest to the next unless there are very many instances. The others know of a
    /// request's load and charge within it, and each digest costs every instance a wakeup.
    static constexpr Duration baseInterval = std::chrono::milliseconds(250);

    /// Work that the sender has placed on an endpoint.
    struct EndpointLoad
    {
        EndpointHash endpoint;
        std::uint32_t running = 0;      ///< Requests sent and not finished.
        std::uint32_t promptTokens = 0; ///< Prompt tokens that are still to be read.
        bool isSuspect = false;         ///< Whether it has fallen silent or keeps failing.
    };
    /// Use of a client account's allowance, in the allowance's unit.
    struct AccountUse
    {
        AccountHash account;
        double requested = 0; ///< By requests that arrived.
        double admitted = 0;  ///< By requests that were let through.
    };
    /// Work that the sender has given to the engines of a service.
    struct ServiceWork
    {
        ServiceHash service;
        double promptTokens = 0; ///< To be read, as far as is known.
        double outputTokens = 0;
    };
    /// Requests of a client account that began to run within a metering window.
    struct UsageCount
    {
        std::uint64_t window = 0;
        AccountId account;
        std::uint32_t requests = 0;
    };

    std::string instance;
    std::string incarnation;
    std::string address; ///< "IP:port" at which the sender receives digests.
    ZoneId zone;
    std::uint64_t sequence = 0;       ///< Counts the digests of an incarnation.
    Instant sentAt;                   ///< By the sender's clock.
    Duration interval = baseInterval; ///< Longest time until the sender's next digest.
    Revision revision = 0;            ///< Configuration in force at the sender.
    bool isStopping = false;
    bool refusesNewRequests = false; ///< It is stopping and lets no further requests in.
    bool isReader = false;           ///< Whether the sender follows the store's topics itself.
    std::uint64_t fencingNumber = 0; ///< Set while the sender holds the duties.
    std::vector<EndpointLoad> endpointLoads;
    std::vector<AccountUse> accountUses;
    /// Whether `uses` has all accounts that were used. Other digests have what changed lately.
    bool isComplete = true;
    std::vector<ServiceWork> serviceWork;
    std::vector<UsageCount> usageCounts; ///< Only in digests to the holder of the duties.
    /// How old what a reader knows of the configuration and of the endpoints is.
    Duration configurationAge{};
    Duration endpointsAge{};
    /// Addresses of entry instances that it hears. Of many, each digest tells some in turn.
    std::vector<std::string> peerAddresses;
};

} // namespace monsoonsail
