#pragma once

#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/costs/speed_estimate.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Learns how fast each engine reads prompts and decodes, relative to what is typical of its
/// service. Addresses services whose engines differ in speed: slow ones look like fast ones until
/// their queues show.
class EngineSpeeds
{
public:
    /// Speeds that are assumed until they have been measured, and to which all ratios refer.
    static constexpr double referenceTokensPerMs = 60;
    static constexpr double referenceMsPerOutputToken = 3;

    /// Expected speed of one engine.
    struct Speed
    {
        double msPerPromptToken = 1 / referenceTokensPerMs;
        double msPerOutputToken = referenceMsPerOutputToken;
        double decodeFactor = 1;    ///< Relative to what is typical of the service.
        double shortTermFactor = 1; ///< Contained in the others.
    };

    /// An engine that begins or ceases to count as faster or slower than is typical.
    struct Change
    {
        std::string engine;
        double readingFactor = 1; ///< Of the time, relative to what is typical of the service.
        double decodingFactor = 1;
        double weight = 0; ///< Of the observations of reading.
    };

    /// Returns the expected speed of an engine, and begins to accept reports about it.
    Speed speed(EndpointHash engine, std::string_view name, ServiceHash service, Instant now);
    /// Records the time that an engine took to read prompt tokens.
    void recordReading(EndpointHash engine, double tokens, double tookMs, double weight,
                       Instant now);
    /// Records the time that an engine took to decode tokens of one run.
    void recordDecoding(EndpointHash engine, double tokens, double tookMs, double weight,
                        Instant now);
    /// Records that reading already takes `ratio` times as long as expected.
    void recordOverdue(EndpointHash engine, double ratio, Instant now);
    /// Updates what is typical of each service. Called before placements. Returns changes that are
    /// worth a line in the log, at most one for each engine in a while.
    std::vector<Change> update(Instant now);
    void remove(EndpointHash engine) { m_engines.erase(engine); }

    void applyPeerDigest(const Peer &peer, Instant now);
    /// Returns new evidence about at most `maxCount` engines, in turn, for a digest.
    std::vector<Digest::EndpointSpeed> takeUnsent(std::size_t maxCount);

private:
    struct Engine
    {
        std::string name;
        ServiceHash service;
        SpeedEstimate reading;
        SpeedEstimate decoding;
        ShortTermSlowness slowness;
        double readingFactor = 1; ///< Relative to the service, as of the last update.
        double decodingFactor = 1;
        bool isQueued = false; ///< Whether it is in `m_unsent`.
        bool isReportedTypical = true;
        Instant reportedAt = Instant::min();
    };
    /// Mean of the log ratios of the engines of a service.
    struct Typical
    {
        double logRatio = 0;
        double weight = 0;

        double value() const;
        void add(const SpeedEvidence &known);
    };
    struct Service
    {
        Typical reading; ///< To which the engines are compared.
        Typical decoding;
        /// Moving averages over the observations of this instance.
        double readingLogRatio = 0;
        double decodingLogRatio = 0;
    };

    void queue(EndpointHash hash, Engine &engine);

    std::unordered_map<EndpointHash, Engine> m_engines;
    std::unordered_map<ServiceHash, Service> m_services;
    std::vector<EndpointHash> m_unsent; ///< Engines with unsent evidence, the oldest first.
    Instant m_updatedAt = Instant::min();
};

} // namespace monsoonsail
