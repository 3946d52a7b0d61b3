#include "servers/costs/engine_costs.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

constexpr Duration overdueCheckInterval = std::chrono::milliseconds(40);
/// A first event is overdue after this factor times the predicted time, and this time more.
constexpr double overdueFactor = 2;
constexpr double overdueMarginMs = 30;
/// Only runs whose own prompt is at least this part of what had to be read show the speed of the
/// engine. What others have placed there is only an estimate.
constexpr double minOwnShare = 0.6;
/// Reading times are as uncertain as this time, whatever their length.
constexpr double readingNoiseMs = 50;
/// Decoding is measured over at least this time, since events are reported in groups.
constexpr Duration minPaceTime = std::chrono::milliseconds(150);
constexpr double paceWeight = 0.5;
/// Fraction of the own unread tokens that is left until the first event shows that all were read.
constexpr double minOwnUnreadFraction = 0.3;
/// Bounds and step of the measured fixed part of the time to the first token, and the longest
/// reading time with which it is measured.
constexpr double minFixedMs = 5;
constexpr double maxFixedMs = 120;
constexpr double fixedStepMs = 0.3;
constexpr double maxFixedReadMs = 60;
/// Fraction of the predicted reading time by which engines may differ and yet count as equal.
constexpr double spreadFraction = 0.1;
constexpr double maxSpreadMs = 20;

} // namespace

EngineCosts::EngineCosts(ServingMetrics &metrics, DecisionLog &log)
    : m_log(log)
    , m_errors(metrics)
{ }

void EngineCosts::update(Instant now)
{
    for (const EngineSpeeds::Change &change : m_speeds.update(now)) {
        m_log.write(LogLevel::Info, "engine-speed", {},
                    {{"endpoint", change.engine},
                     {"reading_factor", change.readingFactor},
                     {"decoding_factor", change.decodingFactor},
                     {"weight", change.weight}});
    }
    if (m_checkedAt + overdueCheckInterval <= now || m_checkedAt == Instant::min()) {
        m_checkedAt = now;
        checkOverdueRuns(now);
    }
}

bool EngineCosts::showsSpeed(const Run &run)
{
    return !run.isQueued && run.uncachedTokens > 0
            && run.uncachedTokens >= minOwnShare * run.readTokens;
}

void EngineCosts::checkOverdueRuns(Instant now)
{
    for (const auto &[attempt, run] : m_runs) {
        if (run.hasEvents || !showsSpeed(run))
            continue;
        const double waitedMs = toMs(now - run.startedAt);
        if (waitedMs < overdueFactor * run.predictedFirstMs + overdueMarginMs)
            continue;
        const double otherMs = run.predictedFirstMs - run.predictedReadMs;
        m_speeds.recordOverdue(run.engine,
                               (waitedMs - otherMs) / std::max(run.predictedReadMs, readingNoiseMs),
                               now);
    }
}

double EngineCosts::unreadTokens(const Query &query, double msPerToken, Instant now) const
{
    const double reported = query.reported.unread.remaining(msPerToken, now);
    const auto own = m_backlogs.find(query.engine);
    if (own == m_backlogs.end())
        return reported;
    const UnreadTokens &unread = own->second.unread;
    return reported
            + std::max(unread.remaining(msPerToken, now),
                       minOwnUnreadFraction * static_cast<double>(unread.total()));
}

EngineCosts::Prediction EngineCosts::predict(const Query &query, Instant now)
{
    const EngineSpeeds::Speed speed =
            m_speeds.speed(query.engine, query.engineName, query.service, now);
    const auto fixed = m_fixedMs.find(query.service);
    Prediction prediction;
    prediction.readMs = (unreadTokens(query, speed.msPerPromptToken, now) + query.newTokens)
            * speed.msPerPromptToken;
    prediction.firstTokenMs = (fixed == m_fixedMs.end() ? fixedFirstTokenMs : fixed->second)
            + prediction.readMs + query.running * runningRequestMs * speed.decodeFactor;
    prediction.spreadMs = std::min(maxSpreadMs, spreadFraction * prediction.readMs);
    const double queued = std::max(0.0, query.running + 1 - query.batchSlots);
    if (queued == 0)
        return prediction;
    const auto own = m_backlogs.find(query.engine);
    const double ownRuns = own == m_backlogs.end() ? 0 : own->second.runs;
    const double timedRuns = ownRuns + static_cast<double>(query.reported.timedRuns);
    // Known remaining times stand for those of the other runs too.
    prediction.firstTokenMs += timedRuns == 0
            ? queued * queuedRequestMs
            : slotWaitMs(queued, query.batchSlots, timedRuns,
                         ownRemainingMs(query.engine)
                                 + static_cast<double>(query.reported.remainingMs));
    return prediction;
}

void EngineCosts::beginRun(AttemptNumber attempt, const Query &query, const Start &start,
                           Instant now)
{
    const Prediction prediction = predict(query, now);
    const EngineSpeeds::Speed speed =
            m_speeds.speed(query.engine, query.engineName, query.service, now);
    const auto requestClass = OutputPredictor::classOf(start.route, start.account);
    const double output =
            m_outputs.predict(requestClass, start.hintedTokens, start.maxOutputTokens).tokens;
    Backlog &backlog = m_backlogs[query.engine];
    m_runs[attempt] = {.engine = query.engine,
                       .service = query.service,
                       .serviceName = std::string(start.service),
                       .route = std::string(start.route),
                       .requestClass = requestClass,
                       .hintedTokens = start.hintedTokens,
                       .tokensPerEvent = start.tokensPerEvent,
                       .uncachedTokens = start.uncachedTokens,
                       .startedAt = now,
                       .readTokens = unreadTokens(query, speed.msPerPromptToken, now)
                               + start.uncachedTokens,
                       .running = query.running,
                       .isQueued = query.running + 1 > start.batchSlots,
                       .predictedReadMs = prediction.readMs,
                       .predictedFirstMs = prediction.firstTokenMs,
                       .predictedEndMs = prediction.firstTokenMs + output * speed.msPerOutputToken,
                       .leftTokens = output};
    backlog.unread.add(start.uncachedTokens, now);
    backlog.leftTokens += output;
    backlog.msPerOutputToken = speed.msPerOutputToken;
    ++backlog.runs;
}

void EngineCosts::recordEvents(AttemptNumber attempt, std::uint32_t events, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    Run &run = entry->second;
    Backlog &backlog = m_backlogs[run.engine];
    const double tokens = static_cast<double>(events) * run.tokensPerEvent;
    if (!run.hasEvents)
        recordFirstEvent(run, backlog, now);
    else
        recordPace(run, tokens, now);
    run.outputTokens += tokens;
    // At least one more event is expected until the end.
    const double left = std::max<double>(run.leftTokens - tokens,
                                         std::min<double>(run.leftTokens, run.tokensPerEvent));
    backlog.leftTokens -= run.leftTokens - left;
    run.leftTokens = left;
}

void EngineCosts::recordFirstEvent(Run &run, Backlog &backlog, Instant now)
{
    run.hasEvents = true;
    run.paceSince = now;
    backlog.unread.remove(run.uncachedTokens, run.startedAt);
    const double tookMs = toMs(now - run.startedAt);
    m_errors.recordFirstEvent(run.serviceName, run.route, run.predictedFirstMs, tookMs);
    if (!showsSpeed(run))
        return;
    double &fixedMs = m_fixedMs.try_emplace(run.service, fixedFirstTokenMs).first->second;
    const double readMs = std::max(1.0, tookMs - fixedMs - run.running * runningRequestMs);
    const double ownShare = run.uncachedTokens / run.readTokens;
    const double referenceMs = run.readTokens / EngineSpeeds::referenceTokensPerMs;
    m_speeds.recordReading(run.engine, run.readTokens, readMs,
                           ownShare * referenceMs / (referenceMs + readingNoiseMs), now);
    if (run.predictedReadMs < maxFixedReadMs) {
        const double step = tookMs > run.predictedFirstMs ? fixedStepMs : -fixedStepMs;
        fixedMs = std::clamp(fixedMs + step, minFixedMs, maxFixedMs);
    }
}

void EngineCosts::recordPace(Run &run, double tokens, Instant now)
{
    run.paceTokens += tokens;
    if (now - run.paceSince < minPaceTime)
        return;
    m_speeds.recordDecoding(run.engine, run.paceTokens, toMs(now - run.paceSince), paceWeight, now);
    run.paceSince = now;
    run.paceTokens = 0;
}

void EngineCosts::endRun(AttemptNumber attempt, bool isWhole, Instant now)
{
    const auto entry = m_runs.find(attempt);
    if (entry == m_runs.end())
        return;
    const Run &run = entry->second;
    if (isWhole) {
        m_outputs.record(run.requestClass, run.hintedTokens, run.outputTokens);
        m_errors.recordEnd(run.serviceName, run.route, run.predictedEndMs,
                           toMs(now - run.startedAt));
    }
    const auto backlog = m_backlogs.find(run.engine);
    backlog->second.leftTokens -= run.leftTokens;
    if (!run.hasEvents)
        backlog->second.unread.remove(run.uncachedTokens, run.startedAt);
    if (--backlog->second.runs == 0)
        m_backlogs.erase(backlog);
    m_runs.erase(entry);
}

double EngineCosts::ownRemainingMs(EndpointHash engine) const
{
    const auto own = m_backlogs.find(engine);
    return own == m_backlogs.end()
            ? 0
            : std::max(0.0, own->second.leftTokens * own->second.msPerOutputToken);
}

} // namespace monsoonsail
