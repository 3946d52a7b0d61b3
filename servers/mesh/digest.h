#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/rollout/rollout_state.h"
#include "servers/rollout/version_evidence.h"
#include "servers/serving/prompt_part.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// Message with the state of an entry instance that it sends to the others several times a second.
/// Amounts of use and work are totals since the start of the process, so the next digest makes up
/// for a lost one.
struct Digest
{
    /// Time between two digests unless there are very many instances. A shorter interval reports
    /// the load and charge of a request sooner; a longer one costs every instance fewer wakeups.
    static constexpr Duration baseInterval = std::chrono::milliseconds(250);

    /// Work that the sender has placed on an endpoint.
    struct EndpointLoad
    {
        EndpointHash endpoint;
        std::uint32_t running = 0;      ///< Requests sent to it that have not finished.
        std::uint32_t promptTokens = 0; ///< Prompt tokens that it has yet to process.
        bool isSuspect = false;         ///< Whether it fell silent or refused work of the sender.
        /// Expected time until all of them have finished, added up; 0 if it is not reported.
        std::uint32_t remainingMs = 0;
    };
    /// What the sender has measured about an endpoint since it last reported it: the mean logarithm
    /// of the actual time relative to a reference that is the same for all senders, and its weight.
    struct EndpointSpeed
    {
        EndpointHash endpoint;
        double readingLogRatio = 0; ///< Of prompts; of whole answers of a plain endpoint.
        double readingWeight = 0;
        double decodingLogRatio = 0;
        double decodingWeight = 0;
    };
    /// Demand of the requests of one urgency.
    struct UrgencyUse
    {
        unsigned urgency = 0;
        double requested = 0;
    };
    /// Use of a client account's allowance, in the allowance's unit.
    struct AccountUse
    {
        AccountHash account;
        double requested = 0; ///< Demand of all requests that arrived.
        double admitted = 0;  ///< Use by the requests that were admitted.
        /// Parts of `requested`, the most urgent first. Empty if the sender doesn't count them.
        std::vector<UrgencyUse> byUrgency;
    };
    /// Work that the sender has given to the engines of a service.
    struct ServiceWork
    {
        ServiceHash service;
        double promptTokens = 0; ///< Prompt tokens to process, as far as known.
        double outputTokens = 0;
    };
    /// Number of a client account's requests that started to run within a metering window.
    struct UsageCount
    {
        std::uint64_t window = 0;
        AccountId account;
        std::uint32_t requests = 0;
    };
    /// End of an endpoint just as it began to answer a request with this prompt part.
    struct PartCrash
    {
        PartHash part = 0;
        EndpointHash endpoint;
        std::uint32_t position = 0; ///< Index of the part in the prompt.
        Duration age{};
    };
    /// A prompt part on which an endpoint has written an answer.
    struct SoundPart
    {
        PartHash part = 0;
        Duration age{}; ///< Time since the last such answer.
    };
    /// A prompt part of a request that the sender has let through to find out whether endpoints
    /// crash under it.
    struct PartTrial
    {
        PartHash part = 0;
        Duration age{}; ///< Time since the request was let through.
    };
    /// An endpoint that has answered although its end was reported.
    struct LiveEndpoint
    {
        EndpointHash endpoint;
        Duration age{}; ///< Time since its last answer.
    };
    /// Request limit that the sender has read in an answer of an endpoint.
    struct EndpointLimit
    {
        EndpointHash endpoint;
        std::optional<double> perSecond; ///< Empty if the endpoint has lifted its limit.
        Duration age{};                  ///< Time since that answer.
    };

    std::string instance;
    std::string incarnation;
    std::string address; ///< "IP:port" at which the sender receives digests.
    ZoneId zone;
    std::uint64_t sequence = 0;       ///< Number of the digest within the incarnation.
    Instant sentAt;                   ///< By the sender's clock.
    Duration interval = baseInterval; ///< Maximum time until the sender's next digest.
    Revision revision = 0;            ///< Configuration in force at the sender.
    bool isStopping = false;
    bool refusesNewRequests = false; ///< Whether it is stopping and admits no requests.
    /// Whether the sender follows the store's topics itself and is not cut off from the others.
    bool isReader = false;
    /// Whether the sender is a reader and the store lacks a configuration that was published.
    bool isStoreBehind = false;
    /// End of the part of the log of the endpoints' list that the sender has read. 0 if the sender
    /// is not a reader, or has not read it yet.
    std::uint64_t listEnd = 0;
    std::uint64_t listChecksum = 0;  ///< See EndpointRegistry; only with `listEnd`.
    std::uint64_t fencingNumber = 0; ///< Not 0 while the sender holds the duties.
    std::vector<EndpointLoad> endpointLoads;
    std::vector<AccountUse> accountUses;
    /// Whether `accountUses` has all accounts with any use. Otherwise it has recent changes only.
    bool isComplete = true;
    std::vector<ServiceWork> serviceWork;
    std::vector<UsageCount> usageCounts; ///< Only in digests to the holder of the duties.
    std::vector<PartCrash> partCrashes;
    std::vector<SoundPart> soundParts; ///< Only parts for which crashes are or were reported.
    std::vector<PartTrial> partTrials; ///< Only those in progress.
    std::vector<LiveEndpoint> liveEndpoints;
    std::vector<EndpointLimit> endpointLimits;
    /// Newest states that the sender knows, by its clock: all in complete digests, otherwise those
    /// of open roll-outs and of those that ended lately.
    std::vector<RolloutState> rollouts;
    /// The sender's own counts since the order, of services with an open roll-out. If there are
    /// many, each digest has some of them in turn.
    std::vector<VersionEvidence> versionEvidence;
    std::vector<EndpointSpeed> endpointSpeeds;
    /// Age of the sender's knowledge of the configuration and of the endpoints.
    Duration configurationAge{};
    Duration endpointsAge{};
    /// Addresses of live peers of the sender, only in complete digests. If there are many, each
    /// complete digest has some of them in turn.
    std::vector<std::string> peerAddresses;
};

} // namespace monsoonsail
