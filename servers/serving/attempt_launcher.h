#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/placement/placement.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"

#include <optional>
#include <vector>

namespace monsoonsail {

/// Places, starts and stops the attempts of requests, and tells everyone who keeps count of them.
class AttemptLauncher
{
public:
    explicit AttemptLauncher(ServingContext &context);

    /// Returns where the request's next attempt should run. Endpoints that already failed it are
    /// left out where others remain.
    std::optional<Placement> place(const RequestRecord &record, Instant now) const;
    /// Returns when the first of the endpoints that want nothing at present opens, if there is one.
    std::optional<Instant> nextOpeningTime(const RequestRecord &record, Instant now) const;
    /// Returns where a run whose memory is moved should go on.
    std::optional<Placement> placeMovedRun(const RequestRecord &record, Instant now) const;
    void startAttempt(RequestRecord &record, const Placement &placement, Instant now);
    /// Told that an attempt has ended by itself.
    void recordEnd(const RequestRecord &record, const RunningAttempt &attempt,
                   EndpointVerdict verdict, Instant now);
    /// Ends all attempts of the request.
    void cancelAll(RequestRecord &record, EndpointVerdict verdict, Instant now);

private:
    std::vector<const Endpoint *> candidates(const RequestRecord &record, Instant now) const;

    ServingContext &m_context;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace monsoonsail
