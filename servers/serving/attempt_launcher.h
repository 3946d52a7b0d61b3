#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/admission/admission_control.h"
#include "servers/endpoints/endpoint_health_tracker.h"
#include "servers/placement/placement.h"
#include "servers/serving/request_record.h"
#include "servers/serving/serving_context.h"

#include <optional>
#include <vector>

namespace monsoonsail {

/// Places, starts and cancels attempts of requests, and reports them to the placers and the
/// endpoint health tracker.
class AttemptLauncher
{
public:
    explicit AttemptLauncher(ServingContext &context);

    /// Chooses the endpoint for the next attempt. Endpoints that failed or declined the request are
    /// only used if no others are left.
    std::optional<Placement> place(const RequestRecord &record, Instant now) const;
    /// Returns the earliest time at which a closed or limited endpoint of the service takes a
    /// request of this instance again, if any is closed or limited.
    std::optional<Instant> nextOpeningTime(const RequestRecord &record, Instant now) const;
    /// Chooses the endpoint at which a run continues after its KV cache has been moved.
    std::optional<Placement> placeMovedRun(const RequestRecord &record, Instant now) const;
    /// Returns when another try makes sense if the first attempt of the request may not start, as
    /// the engines of its service have no place for it.
    std::optional<Instant> refuseForPlaces(const RequestRecord &record, const Placement &placement,
                                           Instant now);
    void startAttempt(RequestRecord &record, const Placement &placement, Instant now);
    /// Reports the end of an attempt to the placer and the endpoint health tracker. Does not cancel
    /// the attempt.
    void recordEnd(const RequestRecord &record, const RunningAttempt &attempt,
                   EndpointVerdict verdict, Instant now);
    /// Starts an attempt that is to replace the running ones. They are kept until it has begun, for
    /// a short time, since it may be declined.
    void startReplacement(RequestRecord &record, const Placement &placement, Instant now);
    /// Cancels the attempts that are being replaced and have been kept for long enough.
    void cancelReplaced(RequestRecord &record, Instant now);
    /// Whether an endpoint of the service may be used whose software version the request can run
    /// at.
    bool hasUsableSoftware(const RequestRecord &record, Instant now) const;
    /// Cancels all running attempts of the request and reports their end.
    void cancelAll(RequestRecord &record, EndpointVerdict verdict, Instant now);

private:
    void cancel(const RequestRecord &record, const RunningAttempt &attempt, EndpointVerdict verdict,
                Instant now);
    /// Whether the endpoint has the service and a software version that the request can run at.
    bool hasSoftwareFor(const RequestRecord &record, const Endpoint &endpoint) const;
    /// Whether the request may be sent to the endpoint, if that is usable: it is open to this
    /// instance, has a version that the request can run at, and does not run the request already.
    bool isFree(const RequestRecord &record, const Endpoint &endpoint, Instant now) const;
    /// Whether the request needs a place that requests share by their urgency and account.
    bool sharesPlaces(const RequestRecord &record) const;
    PlaceRequest placeRequest(const RequestRecord &record, const Placement &placement) const;
    EngineUse engineUse(const Service &service, Instant now) const;
    std::vector<const Endpoint *> candidates(const RequestRecord &record, Instant now) const;
    /// The same where software versions are rolled out.
    std::vector<const Endpoint *> rolloutCandidates(const RequestRecord &record, Instant now) const;
    /// Reports an attempt that is about to begin to the roll-out of its software version.
    void recordRolloutStart(const RequestRecord &record, const Placement &placement,
                            const SoftwareVersion &software, AttemptNumber number, Instant now);

    ServingContext &m_context;
    AttemptNumber m_lastAttempt = 0;
};

} // namespace monsoonsail
