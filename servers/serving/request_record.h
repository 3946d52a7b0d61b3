#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/request_arrival.h"
#include "servers/site/site_configuration.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace monsoonsail {

/// An attempt of a request that is under way.
struct RunningAttempt
{
    AttemptNumber number = 0;
    EndpointId endpoint;
    Instant startedAt;
    Instant lastProgress; ///< Start, or the last event that was passed on.
    std::uint32_t events = 0;
    bool isHedge = false;
};

/// Control state of one request in progress.
struct RequestRecord
{
    RequestArrival arrival;
    /// The configuration that was in force when it arrived; the pointers below refer to it.
    std::shared_ptr<const SiteConfiguration> configuration;
    const Route *route = nullptr;
    const Account *account = nullptr; ///< Null if the route is public.
    const Service *service = nullptr;

    Instant answerBy;                 ///< The final answer is due.
    Instant recheckAt = Instant::max(); ///< When to try again to place it.
    Instant hedgeAt = Instant::max(); ///< When a second attempt may start beside the first.
    std::vector<RunningAttempt> running;
    std::set<EndpointId> avoided; ///< Endpoints that failed or declined it.
    unsigned runs = 0;            ///< Attempts that may have run, the running ones included.
    unsigned repeats = 0;         ///< Attempts after the first one.
    bool mayHaveRun = false;      ///< Whether some attempt may have run.
    bool isStreaming = false;     ///< Whether the caller has got events.
    bool isCounted = false;       ///< Whether its run has been metered.
    std::optional<EventId> lastEvent;
    AttemptNumber failureAnswer = 0; ///< Attempt with a whole answer that tells of a failure.
    Instant dueAt;                ///< Entry of the deadline queue.

    /// Whether the request may run on another endpoint after it may have run on one.
    bool isIdempotent() const
    {
        return route->kind == RequestKind::Safe
                || (route->kind == RequestKind::Streaming && route->isResumable);
    }
    bool isStream() const { return route->kind == RequestKind::Streaming; }
};

} // namespace monsoonsail
