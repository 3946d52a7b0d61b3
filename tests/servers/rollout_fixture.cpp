#include "tests/servers/rollout_fixture.h"

#include "servers/rollout/rollout_record.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <tuple>

namespace monsoonsail {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
const ServiceId service("books");
constexpr Duration streamTime = milliseconds(1500);
constexpr unsigned badAnswerLimit = 50;
constexpr double exposureShare = 0.1;
constexpr unsigned exposureSlack = 50;
constexpr Duration rollbackTime = seconds(5);
} // namespace

std::vector<RolloutState> RolloutFixture::View::states() const
{
    return m_state ? std::vector<RolloutState>{*m_state} : std::vector<RolloutState>();
}

void RolloutFixture::View::apply(const RolloutState &state, Instant /*now*/)
{
    if (!m_state || std::tie(m_state->order, m_state->change) < std::tie(state.order, state.change))
        m_state = state;
}

void RolloutFixture::View::suspend(const ServiceId & /*service*/, std::string_view /*reason*/)
{
    m_suspendedOrder = m_state->order;
}

std::vector<VersionEvidence> RolloutFixture::View::evidence(const ServiceId & /*service*/) const
{
    return m_fixture.m_model.totals();
}

double RolloutFixture::View::runsBeside(const ServiceId & /*service*/,
                                        const SoftwareVersion & /*target*/) const
{
    return m_fixture.m_now < m_fixture.m_lastOldRequestAt + streamTime ? 1 : 0;
}

double RolloutFixture::View::targetShare() const
{
    const bool isListed = std::ranges::any_of(m_fixture.m_endpoints.all(), [this](const auto &e) {
        return m_state && e.second.listing.software == m_state->target
                && e.second.isUsable(m_fixture.m_now);
    });
    if (!isListed || m_state->order == m_suspendedOrder)
        return 0;
    if (m_state->phase == RolloutPhase::Trial)
        return 0.09;
    const bool isTargetOnly =
            m_state->phase == RolloutPhase::Shifting || m_state->phase == RolloutPhase::Completed;
    return isTargetOnly ? 1 : 0;
}

void RolloutFixture::startSite(bool hasTarget)
{
    m_store.onAppended = [this](const std::string &topic) {
        if (topic == OrderCodec::statusTopic)
            m_statuses.push_back({.at = m_now, .text = m_store.topics[topic].back().value});
    };
    for (const std::string name : {"a", "b", "c"}) {
        addInstance(name);
        startPart(*m_instances.back());
    }
    listEndpoint("old", RolloutModel::oldVersion);
    run(seconds(5));
    if (hasTarget)
        listEndpoint("new", RolloutModel::targetVersion);
}

void RolloutFixture::restart()
{
    m_parts.clear();
    reset();
    m_endpoints = EndpointRegistry();
    m_model = RolloutModel(1);
    m_metrics = RecordingMetrics();
    m_statuses.clear();
    m_target.clear();
    m_dueAt = {};
}

void RolloutFixture::listEndpoint(const std::string &name, const std::string &version)
{
    m_endpoints.applyListing({.instance = name,
                              .startedMs = 1,
                              .service = service,
                              .software = SoftwareVersion(version),
                              .zone = ZoneId("a")},
                             m_now);
}

void RolloutFixture::removeEndpoint(const std::string &name)
{
    m_endpoints.markLeaving(endpointId(name, 1), m_now);
}

void RolloutFixture::startPart(Instance &instance)
{
    Part &part = m_parts[instance.name];
    part = {};
    part.view = std::make_unique<View>(*this);
    part.orders = std::make_unique<RolloutOrders>(m_codec, m_log);
    part.decider = std::make_unique<RolloutDecider>(instance.name);
    part.controller = std::make_unique<RolloutController>(
            RolloutController::Ports{.view = *part.view,
                                     .orders = *part.orders,
                                     .endpoints = m_endpoints,
                                     .codec = m_codec,
                                     .store = *instance.store,
                                     .now = [this] { return m_now; },
                                     .metrics = m_metrics,
                                     .decisions = m_log});
}

void RolloutFixture::order(const std::string &target, Duration allowed)
{
    if (m_dueAt == Instant() || m_target != target) {
        m_target = target;
        m_model.beginOrder(target);
        m_orderedAt = m_now;
        m_dueAt = m_now + allowed;
        m_requestsInTime = 0;
        m_limitReachedAt.reset();
    }
    const auto allowedS = std::chrono::duration_cast<seconds>(allowed).count();
    std::vector<LogRecord> &records = m_store.topics["keyed.op"];
    records.push_back({.offset = records.size(),
                       .key = std::string(OrderCodec::keyPrefix) + service.value(),
                       .value = target + "/" + std::to_string(allowedS)});
}

void RolloutFixture::readOrders(Part &part)
{
    if (m_store.error)
        return;
    const std::vector<LogRecord> &records = m_store.topics["keyed.op"];
    const auto position = [this](std::uint64_t offset) {
        return LogPosition{.era = m_store.era, .offset = offset}.value();
    };
    const bool isRestored = std::exchange(part.era, m_store.era) != m_store.era;
    if (isRestored)
        part.ordersRead = records.empty() ? 0 : records.size() - 1;
    for (; part.ordersRead < records.size(); ++part.ordersRead) {
        LogRecord record = records.at(part.ordersRead);
        record.offset = position(part.ordersRead);
        part.orders->onValueChanged(record, m_now);
    }
    part.orders->onCaughtUp(position(records.size()), m_now, m_now);
}

void RolloutFixture::exchangeDigests()
{
    for (const auto &sender : m_instances) {
        for (const auto &receiver : m_instances) {
            if (!sender->isAlive || !receiver->isAlive || !m_parts[sender->name].view->sendsDigests)
                continue;
            for (const RolloutState &state : m_parts[sender->name].view->states())
                m_parts[receiver->name].view->apply(state, m_now);
        }
    }
}

void RolloutFixture::sendRequests()
{
    double share = 0;
    double alive = 0;
    for (const auto &instance : m_instances) {
        if (!instance->isAlive)
            continue;
        share += m_parts[instance->name].view->targetShare();
        ++alive;
    }
    share /= alive;
    const unsigned requests = m_model.requests;
    const unsigned targetRequests = m_model.targetRequests;
    m_model.answer(m_now - m_orderedAt, tickInterval, share);
    if (m_model.targetRequests > targetRequests)
        m_lastTargetRequestAt = m_now;
    if (m_model.requests - requests > m_model.targetRequests - targetRequests)
        m_lastOldRequestAt = m_now;
    if (m_now < m_dueAt)
        m_requestsInTime += m_model.requests - requests;
    if (!m_limitReachedAt && m_model.badAnswers >= badAnswerLimit)
        m_limitReachedAt = m_now;
}

void RolloutFixture::run(Duration duration)
{
    const Instant end = m_now + duration;
    while (m_now < end) {
        advance(tickInterval);
        if (m_dueAt > Instant() && m_now >= m_orderedAt)
            sendRequests();
        // Digests take some ticks.
        if (++m_ticks % 3 == 0)
            exchangeDigests();
        for (const auto &instance : m_instances) {
            if (!instance->isAlive)
                continue;
            readOrders(m_parts[instance->name]);
            const std::uint64_t number = m_parts[instance->name].decider->number(
                    *instance->mesh, instance->election->fencingNumber(),
                    instance->election->announcedFencingNumber(), m_now);
            m_parts[instance->name].controller->advance(number);
        }
        m_store.answerPending();
    }
}

void RolloutFixture::runUntilStatus(const std::string &text)
{
    const Instant end = m_now + std::chrono::minutes(1);
    while (lastStatus() != text) {
        CPPUNIT_ASSERT_MESSAGE(text, m_now < end);
        run(tickInterval);
    }
}

void RolloutFixture::killInstance(Instance &instance)
{
    kill(instance);
    m_parts[instance.name].controller.reset();
}

std::string RolloutFixture::lastStatus() const
{
    return m_statuses.empty() ? std::string() : m_statuses.back().text;
}

std::ptrdiff_t RolloutFixture::statusCount(const std::string &text) const
{
    return std::ranges::count(m_statuses, text, &Status::text);
}

std::optional<RolloutPhase> RolloutFixture::storedPhase()
{
    const std::vector<LogRecord> &records = m_store.topics[std::string(rolloutTopic)];
    if (records.empty())
        return std::nullopt;
    return decodeRolloutRecord(records.back().key, records.back().value)->phase;
}

void RolloutFixture::checkEnded(const std::string &text) const
{
    CPPUNIT_ASSERT_EQUAL(text, lastStatus());
    CPPUNIT_ASSERT(m_statuses.back().at <= m_dueAt);
}

void RolloutFixture::checkExposure() const
{
    CPPUNIT_ASSERT(m_model.targetRequests <= exposureShare * m_requestsInTime + exposureSlack);
    if (m_limitReachedAt)
        CPPUNIT_ASSERT(m_lastTargetRequestAt <= *m_limitReachedAt + rollbackTime);
}

} // namespace monsoonsail
