#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_start.h"
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
    /// How far the move of its memory to another endpoint is.
    enum class MoveState {
        None,
        Requested,
        Completed, ///< The run has stopped; its stream is about to end.
    };

    AttemptNumber number = 0;
    EndpointId endpoint;
    Instant startedAt;
    bool hasEvents = false;
    MoveState moveState = MoveState::None;
    unsigned moveRequests = 0;   ///< Moves that were asked for.
    bool hasStreamEnded = false; ///< Its stream has ended; the end of the move is awaited.
    EndpointId moveTarget;       ///< Where the run goes on.
    CacheSource movedCache;      ///< Its memory, once moved.
    Instant oldStreamDeadline;   ///< The stream of a run that was moved is given up then.
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

    Instant deadline;                 ///< The final answer is due.
    Instant hedgeAt = Instant::max(); ///< When a second attempt may start beside the first.
    std::vector<RunningAttempt> runningAttempts;
    std::set<EndpointId> avoidedEndpoints; ///< Endpoints that failed or declined it.
    unsigned runs = 0;                 ///< Attempts that may have run, the running ones included.
    unsigned repeats = 0;              ///< Attempts after the first one.
    unsigned runsOnEndedEndpoints = 0; ///< Runs that broke off because their endpoint has ended.
    bool mayHaveRun = false;           ///< Whether some attempt may have run.
    bool isStreaming = false;          ///< Whether the caller has got events.
    bool isMetered = false;            ///< Whether its run has been counted.
    double charge = 0;                 ///< What it took from the allowance of its account.
    Instant firstEventAt;              ///< Set while streaming.
    Instant lastEventAt;
    Duration longestPause{}; ///< Between two events that the caller got.
    std::optional<EventId> lastEvent;
    /// Attempt with a whole answer that tells of a failure.
    AttemptNumber failureAnswerAttempt = 0;
    Instant queueTime; ///< Entry of the deadline queue.

    bool isStream() const { return route->kind == RequestKind::Streaming; }
    /// Whether the request may run on another endpoint after it may have run on one.
    bool isIdempotent() const
    {
        return route->kind == RequestKind::Safe || (isStream() && route->isResumable);
    }
};

} // namespace monsoonsail
