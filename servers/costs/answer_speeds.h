#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/costs/prediction_errors.h"
#include "servers/costs/speed_estimate.h"
#include "servers/mesh/digest.h"
#include "servers/mesh/mesh.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Learns how long plain endpoints take to answer the requests of each route. Addresses endpoints
/// that are slow for good or for fractions of a second, also before the late answers have arrived.
class AnswerSpeeds
{
public:
    explicit AnswerSpeeds(ServingMetrics &metrics)
        : m_errors(metrics)
    { }

    /// Returns the expected time from the request to the answer.
    double answerMs(EndpointHash endpoint, ServiceHash service, std::string_view route,
                    Instant now);
    /// Updates the factors, and checks whether answers are overdue. Called before placements.
    void update(Instant now);
    void beginRun(AttemptNumber attempt, EndpointHash endpoint, const ServiceId &service,
                  std::string_view route, Instant now);
    /// Ends a run. `isWhole` tells whether its answer has arrived.
    void endRun(AttemptNumber attempt, bool isWhole, Instant now);
    void remove(EndpointHash endpoint) { m_endpoints.erase(endpoint); }

    void applyPeerDigest(const Peer &peer, Instant now);
    /// Returns new evidence about at most `maxCount` endpoints for a digest.
    std::vector<Digest::EndpointSpeed> takeUnsent(std::size_t maxCount);

private:
    struct EndpointSpeed
    {
        SpeedEstimate answering; ///< Relative to what is typical of the routes.
        ShortTermSlowness slowness;
        ServiceHash service;
        double factor = 1; ///< Relative to the service, as of the last update.
    };
    /// What is typical of a route, whatever the endpoint.
    struct RouteTime
    {
        double logMs = 0;
        double count = 0;
    };
    struct Run
    {
        EndpointHash endpoint;
        ServiceId service;
        std::string route;
        Instant startedAt;
        double expectedMs = 0;
    };

    double typicalMs(std::string_view route) const;
    void updateFactors(Instant now);
    void checkOverdueRuns(Instant now);

    PredictionErrors m_errors;
    std::unordered_map<EndpointHash, EndpointSpeed> m_endpoints;
    std::map<std::string, RouteTime, std::less<>> m_routes;
    std::unordered_map<AttemptNumber, Run> m_runs;
    EndpointHash m_lastSent;
    Instant m_checkedAt = Instant::min();
    Instant m_updatedAt = Instant::min();
};

} // namespace monsoonsail
