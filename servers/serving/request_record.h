#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/attempt_end.h"
#include "servers/serving/attempt_start.h"
#include "servers/serving/request_arrival.h"
#include "servers/serving/request_runs.h"
#include "servers/serving/stop_orders.h"
#include "servers/site/site_configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace monsoonsail {

/// Where a run was before it was moved.
struct MoveOrigin
{
    AttemptNumber attempt = 0;
    EndpointId endpoint;
    CacheSource cache; ///< The KV cache that the endpoint has kept.
};

/// A running attempt of a request.
struct RunningAttempt
{
    /// Progress of the move of its KV cache to another endpoint.
    enum class MoveState {
        None,
        Requested,
        Completed, ///< The run has stopped, and its stream is about to end.
    };

    AttemptNumber number = 0;
    EndpointId endpoint;
    Instant startedAt;
    bool hasEvents = false;
    Instant firstEventAt;    ///< Set if it has events.
    bool isSoundRun = false; ///< Whether the endpoint went on to write after the first event.
    MoveState moveState = MoveState::None;
    bool hasStreamEnded = false; ///< The stream has ended while the move was in progress.
    /// How it has ended, if that may be its own end.
    std::optional<AttemptEnd> closedStream;
    EndpointId moveTarget;               ///< Endpoint at which the run continues.
    CacheSource movedCache;              ///< Its KV cache; set when the move is completed.
    std::optional<MoveOrigin> movedFrom; ///< Set if it continues a run of another endpoint.
    Instant oldStreamDeadline; ///< After a move, the old stream is cancelled at this instant.
    /// When it is cancelled at the latest, if a later attempt is about to replace it.
    Instant keptUntil = Instant::max();

    bool isBeingReplaced() const { return keptUntil != Instant::max(); }
};

/// State of one request in progress.
struct RequestRecord
{
    RequestArrival arrival;
    /// Configuration in force when the request arrived; the pointers below refer to it.
    std::shared_ptr<const SiteConfiguration> configuration;
    const Route *route = nullptr;
    const Account *account = nullptr; ///< Null if the route is public.
    const Service *service = nullptr;

    Instant deadline; ///< When the final answer is due.
    /// When a stream without events is next compared with what other endpoints would take.
    Instant nextLateCheckAt = Instant::min();
    Instant hedgeAt = Instant::max(); ///< When a hedge may be started beside the first attempt.
    std::vector<RunningAttempt> runningAttempts;
    std::set<EndpointId> avoidedEndpoints; ///< Endpoints that failed or declined the request.
    /// Version of the endpoint of each attempt.
    std::map<AttemptNumber, SoftwareVersion> attemptSoftware;
    /// Version that began the stream, once the caller has an event of it; all further runs have it.
    std::optional<SoftwareVersion> software;
    /// Until then, the version that began a stream which the caller takes up is looked for.
    Instant originDueAt = Instant::max();
    RequestRuns runs;
    StopOrders stopOrders;
    unsigned repeats = 0;           ///< Attempts after the first.
    bool isSampledForTrial = false; ///< Whether its first run may use a version on trial.
    bool mayHaveRun = false;        ///< Whether an attempt may have run.
    bool isStreaming = false;       ///< Whether events have been relayed to the caller.
    bool isMetered = false;         ///< Whether the run has been counted as usage.
    double charge = 0;              ///< What was charged to the allowance of its account.
    Instant firstEventAt;           ///< Set if `isStreaming`.
    Instant lastEventAt;
    Duration longestPause{}; ///< Between two events relayed to the caller.
    std::optional<EventId> lastEvent;
    /// Attempt that ended with a complete answer that reports a failure; 0 if there is none.
    AttemptNumber failureAnswerAttempt = 0;
    Instant queueTime; ///< Time of its entry in the deadline queue.

    std::span<const PromptPart> sharedPromptParts() const
    {
        return sharedParts(arrival.promptParts);
    }
    /// Priority of its account, or else of its route; 0 is the most urgent.
    unsigned urgency() const
    {
        return account != nullptr && account->priority ? *account->priority : route->priority;
    }
    bool isStream() const { return route->kind == RequestKind::Streaming; }
    /// Whether the caller takes up a stream that an earlier request of it began.
    bool isTakeUp() const
    {
        return isStream() && (arrival.resumeAfter || !arrival.resumedRequest.empty());
    }
    bool isResumable() const { return isStream() && route->isResumable; }
    /// Whether the request may be run again after an attempt that may have run.
    bool isIdempotent() const { return route->kind == RequestKind::Safe || isResumable(); }
};

} // namespace monsoonsail
