#include "tests/servers/place_model.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

constexpr Duration step = std::chrono::milliseconds(5);
constexpr unsigned maxTries = 3;
constexpr double costPerSecond = 10'000;
/// Part of its time in a slot after which a request has its first event.
constexpr double firstEventFraction = 0.2;
/// Time that the placement assumes for a queued request.
constexpr double assumedSeconds = 0.4;
constexpr double demandSeconds = 2;
/// Slots that may be free beside refusals. It is what goodput may lose under load.
constexpr double tolerablyFreeFraction = 0.05;
/// Engines that a placement considers, chosen at random.
constexpr unsigned candidateCount = 2;

const ServiceId &service()
{
    static const ServiceId name("model");
    return name;
}

} // namespace

PlaceModel::PlaceModel(const Size &size, bool sharesPlaces, std::uint64_t seed)
    : m_random(seed)
    , m_size(size)
    , m_sharesPlaces(sharesPlaces)
    , m_instances(size.instances)
    , m_engines(size.engines)
    , m_reported(size.engines)
{
    for (std::size_t index = 0; index < size.instances; ++index) {
        Instance &instance = m_instances.at(index);
        instance.admission = std::make_unique<AdmissionControl>(seed * size.instances + index);
        instance.own.resize(size.engines);
        instance.reported.resize(size.engines);
        instance.nextDigest =
                m_now + fromSeconds(toSeconds(size.digestInterval) * m_random.fraction());
    }
}

std::vector<PlaceResult> PlaceModel::run(Duration duration, std::span<const PlaceStream> streams)
{
    m_streams = streams;
    m_results.assign(streams.size(), {});
    m_retries.clear();
    for (const Instant end = m_now + duration; m_now < end;) {
        m_now += step;
        work();
        sendDigests();
        for (; !m_retries.empty() && m_retries.begin()->first <= m_now;
             m_retries.erase(m_retries.begin()))
            send(m_retries.begin()->second.stream, m_retries.begin()->second.tries);
        for (std::size_t index = 0; index < streams.size(); ++index) {
            double expected = streams[index].perSecond * toSeconds(step);
            for (; m_random.fraction() < expected; expected -= 1) {
                ++m_results.at(index).calls;
                send(index, 1);
            }
        }
    }
    return m_results;
}

void PlaceModel::cutDigests()
{
    m_isCut = true;
    std::ranges::fill(m_reported, 0);
    for (Instance &instance : m_instances)
        std::ranges::fill(instance.reported, 0);
}

void PlaceModel::sendDigests()
{
    if (m_isCut)
        return;
    for (Instance &instance : m_instances) {
        if (m_now < instance.nextDigest)
            continue;
        instance.nextDigest = m_now + m_size.digestInterval;
        for (std::size_t engine = 0; engine < m_size.engines; ++engine)
            m_reported.at(engine) += instance.own.at(engine) - instance.reported.at(engine);
        instance.reported = instance.own;
        for (const auto &[account, requested] : instance.requested) {
            auto &demand = m_demand.try_emplace(account, demandSeconds).first->second;
            demand.add(requested - std::exchange(instance.reportedRequested[account], requested),
                       m_now);
        }
    }
}

double PlaceModel::requestsAt(const Instance &instance, std::size_t engine) const
{
    return m_reported.at(engine) - instance.reported.at(engine) + instance.own.at(engine);
}

/// Returns the engine with the shortest predicted queue, and the wait there in seconds.
std::pair<std::size_t, double> PlaceModel::chooseEngine(const Instance &instance)
{
    std::size_t best = m_size.engines;
    double bestWait = 0;
    double bestCost = 0;
    // As by the prefixes of prompts, not every request prefers the same engines.
    for (unsigned candidate = 0; candidate < candidateCount; ++candidate) {
        const std::size_t engine = m_random.integerBelow(m_size.engines);
        const double requests = requestsAt(instance, engine);
        const double queued = std::max(0.0, requests + 1 - slotsPerEngine);
        const double wait = queued * assumedSeconds / slotsPerEngine;
        const double cost = wait + requests * 0.001;
        if (best == m_size.engines || cost < bestCost) {
            best = engine;
            bestWait = wait;
            bestCost = cost;
        }
    }
    return {best, bestWait};
}

/// Whether more slots are free than are lost to figures that are half a second old.
bool PlaceModel::hasRoom() const
{
    std::size_t running = 0;
    for (const Engine &engine : m_engines)
        running += engine.running.size();
    return static_cast<double>(running) < (1 - tolerablyFreeFraction) * m_size.capacity();
}

std::vector<AccountRate> PlaceModel::rates()
{
    std::vector<AccountRate> rates;
    for (const auto &[account, demand] : m_demand)
        rates.push_back({.account = account, .requestedPerSecond = demand.perSecond(m_now)});
    return rates;
}

void PlaceModel::send(std::size_t index, unsigned tries)
{
    const PlaceStream &stream = m_streams[index];
    PlaceResult &result = m_results.at(index);
    ++result.tries;
    const std::size_t number = m_random.integerBelow(m_instances.size());
    Instance &instance = m_instances.at(number);
    const double seconds = stream.seconds * (0.4 + 1.2 * m_random.fraction());
    const double cost = stream.seconds * costPerSecond;
    const auto [engine, wait] = chooseEngine(instance);
    instance.requested[stream.account] += cost;
    const PlaceRequest request{.service = service(),
                               .account = stream.account,
                               .urgency = stream.urgency,
                               .cost = cost,
                               .charge = cost,
                               .expectedFirstEventAt = m_now
                                       + fromSeconds(wait + firstEventFraction * stream.seconds),
                               .goalAt = m_now + stream.goal,
                               .deadline = m_now + stream.deadline,
                               .hasFreeSlot = requestsAt(instance, engine) < slotsPerEngine};
    if (m_sharesPlaces) {
        AdmissionControl &admission = *instance.admission;
        if (admission.needsAccounts(m_now))
            admission.updateAccounts(rates(), static_cast<unsigned>(m_instances.size()),
                                     m_size.digestInterval, m_isCut, m_now);
        if (admission.needsUse(service(), m_now)) {
            EngineUse use{.slots = m_size.capacity()};
            for (std::size_t other = 0; other < m_size.engines; ++other)
                use.running += requestsAt(instance, other);
            admission.updateUse(service(), use, m_now);
        }
        if (const auto refusal = admission.refuse(request, m_now)) {
            ++result.refused;
            result.needless += hasRoom() ? 1 : 0;
            if (tries < maxTries)
                m_retries.emplace(refusal->retryAt, Retry{.stream = index, .tries = tries + 1});
            return;
        }
    }
    const AttemptNumber attempt = ++m_lastNumber;
    if (m_sharesPlaces)
        instance.admission->recordStart(attempt, request, m_now);
    instance.own.at(engine) += 1;
    m_engines.at(engine).queue.emplace(stream.urgency,
                                       Job{.number = attempt,
                                           .stream = index,
                                           .instance = number,
                                           .urgency = stream.urgency,
                                           .seconds = seconds,
                                           .sentAt = m_now,
                                           .goalAt = request.goalAt,
                                           .deadline = request.deadline});
}

void PlaceModel::work()
{
    for (std::size_t index = 0; index < m_size.engines; ++index) {
        Engine &engine = m_engines.at(index);
        std::erase_if(engine.running, [&](Job &job) {
            if (!job.hasEvents
                && job.startedAt + fromSeconds(firstEventFraction * job.seconds) <= m_now) {
                job.hasEvents = true;
                PlaceResult &result = m_results.at(job.stream);
                result.longestWait = std::max(result.longestWait, m_now - job.sentAt);
                result.onTime += m_now <= job.goalAt ? 1 : 0;
                if (m_sharesPlaces)
                    m_instances.at(job.instance).admission->recordFirstEvent(job.number, m_now);
            }
            const bool isAnswered = job.startedAt + fromSeconds(job.seconds) <= m_now;
            if (!isAnswered && m_now < job.deadline)
                return false;
            finish(index, job, isAnswered);
            return true;
        });
        std::erase_if(engine.queue, [&](const auto &entry) {
            if (m_now < entry.second.deadline)
                return false;
            finish(index, entry.second, false);
            return true;
        });
        while (engine.running.size() < slotsPerEngine && !engine.queue.empty()) {
            engine.running.push_back(engine.queue.begin()->second);
            engine.running.back().startedAt = m_now;
            engine.queue.erase(engine.queue.begin());
        }
    }
}

void PlaceModel::finish(std::size_t engine, const Job &job, bool wasAnswered)
{
    Instance &instance = m_instances.at(job.instance);
    instance.own.at(engine) -= 1;
    if (m_sharesPlaces)
        instance.admission->recordEnd(job.number, false, m_now);
    PlaceResult &result = m_results.at(job.stream);
    result.answered += wasAnswered ? 1 : 0;
    result.inVain += wasAnswered ? 0 : 1;
    result.answeredSeconds += wasAnswered ? job.seconds : 0;
}

} // namespace monsoonsail
