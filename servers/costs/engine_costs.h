#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/name_hash.h"
#include "servers/costs/engine_speeds.h"
#include "servers/costs/output_predictor.h"
#include "servers/costs/prediction_errors.h"
#include "servers/costs/remaining_work.h"
#include "servers/ports/decision_log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// Part of the time to the first token that does not depend on the load: scheduling, the first step
/// and the network round trip.
constexpr double fixedFirstTokenMs = 12;
/// Increase of the time to the first token for each running request, which makes every step longer.
constexpr double runningRequestMs = 1;
/// Wait for a batch slot for each request in the queue; about a tenth of the duration of a stream.
constexpr double queuedRequestMs = 100;

/// Predicts what a request costs on each engine, and learns from the runs of this instance.
class EngineCosts
{
public:
    /// A request that may be placed on an engine.
    struct Query
    {
        EndpointHash engine;
        std::string_view engineName;
        ServiceHash service;
        double newTokens = 0; ///< Prompt tokens to read for it.
        double running = 0;   ///< Requests of all instances on the engine.
        unsigned batchSlots = 1;
        const ReportedWork &reported;
    };
    struct Prediction
    {
        double readMs = 0; ///< Until the prompt and those before it have been read.
        double firstTokenMs = 0;
        double spreadMs = 0; ///< Uncertainty that may be used to spread requests.
    };
    /// A run that starts.
    struct Start
    {
        std::string_view service;
        std::string_view route;
        std::string_view account;
        std::uint32_t hintedTokens = 0;
        std::uint32_t maxOutputTokens = 0;
        std::uint32_t tokensPerEvent = 1;
        std::uint32_t uncachedTokens = 0;
        unsigned batchSlots = 1;
    };

    /// `metrics` and `log` must outlive the object.
    EngineCosts(ServingMetrics &metrics, DecisionLog &log);

    /// Updates the speeds. Called before placements.
    void update(Instant now);
    Prediction predict(const Query &query, Instant now);

    /// `query` describes the engine as it was before the run.
    void beginRun(AttemptNumber attempt, const Query &query, const Start &start, Instant now);
    void recordEvents(AttemptNumber attempt, std::uint32_t events, Instant now);
    /// Ends a run. `isWhole` tells whether its whole answer has arrived.
    void endRun(AttemptNumber attempt, bool isWhole, Instant now);
    void removeEngine(EndpointHash engine) { m_speeds.remove(engine); }

    void applyPeerDigest(const Peer &peer, Instant now) { m_speeds.applyPeerDigest(peer, now); }
    std::vector<Digest::EndpointSpeed> takeUnsentSpeeds(std::size_t maxCount)
    {
        return m_speeds.takeUnsent(maxCount);
    }
    /// Returns the remaining time of the own runs on an engine, all added up.
    double ownRemainingMs(EndpointHash engine) const;

private:
    struct Run
    {
        EndpointHash engine;
        ServiceHash service;
        std::string serviceName;
        std::string route;
        OutputPredictor::Class requestClass = 0;
        std::uint32_t hintedTokens = 0;
        std::uint32_t tokensPerEvent = 1;
        std::uint32_t uncachedTokens = 0;
        Instant startedAt;
        double readTokens = 0; ///< Tokens to be read until its first event.
        double running = 0;
        bool isQueued = false; ///< Whether it had to wait for a batch slot.
        bool hasEvents = false;
        double predictedReadMs = 0;
        double predictedFirstMs = 0;
        double predictedEndMs = 0;
        double leftTokens = 0; ///< Output that is expected to come.
        double outputTokens = 0;
        Instant paceSince; ///< Decoding is measured from this instant on.
        double paceTokens = 0;
    };
    /// Work of this instance on an engine.
    struct Backlog
    {
        UnreadTokens unread;
        double leftTokens = 0;
        unsigned runs = 0;
        double msPerOutputToken = EngineSpeeds::referenceMsPerOutputToken; ///< When last placed.
    };

    void recordFirstEvent(Run &run, Backlog &backlog, Instant now);
    void recordPace(Run &run, double tokens, Instant now);
    static bool showsSpeed(const Run &run);
    void checkOverdueRuns(Instant now);
    double unreadTokens(const Query &query, double msPerToken, Instant now) const;

    DecisionLog &m_log;
    EngineSpeeds m_speeds;
    OutputPredictor m_outputs;
    PredictionErrors m_errors;
    std::unordered_map<AttemptNumber, Run> m_runs;
    std::unordered_map<EndpointHash, Backlog> m_backlogs;
    std::unordered_map<ServiceHash, double> m_fixedMs; ///< Measured part that is always the same.
    Instant m_checkedAt = Instant::min();
};

} // namespace monsoonsail
