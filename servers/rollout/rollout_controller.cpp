#include "servers/rollout/rollout_controller.h"

#include "core/log_position.h"
#include "servers/rollout/rollout_record.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// Time after an order until the list of endpoints is taken to be known.
constexpr Duration listTime = std::chrono::seconds(2);

bool isFinished(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
}

bool contains(const std::vector<SoftwareVersion> &versions, const SoftwareVersion &version)
{
    return std::ranges::find(versions, version) != versions.end();
}

/// Whether the order is the one that the state is about. It may have been written again after the
/// store came back from a copy that lacked it.
bool isSameOrder(const RolloutOrder &order, const RolloutState &state, Instant now)
{
    if (order.position == state.order)
        return true;
    if (order.target != state.target)
        return false;
    const LogPosition position = LogPosition::of(order.position);
    const LogPosition known = LogPosition::of(state.order);
    return !isFinished(state.phase)
            || (position.era > known.era && (position.offset == known.offset || now < state.dueAt));
}

} // namespace

RolloutController::RolloutController(const Ports &ports)
    : m_ports(ports)
    , m_stateWriter(std::string(rolloutTopic), ports.store, ports.now)
    , m_statusWriter(std::string(ports.codec.rolloutStatusTopic()), ports.store, ports.now)
{
    m_stateWriter.setReadHandler([this](const LogRecords &records) { adopt(records); });
    m_stateWriter.setWriteHandler(
            [this](const std::string &service, const std::string &, std::error_code error) {
                if (error)
                    m_ports.decisions.write(LogLevel::Warning, "rollout-not-stored", {},
                                            {{"service", service}, {"error", error.message()}});
            });
    m_statusWriter.setWriteHandler([this](const std::string &key, const std::string &status,
                                          std::error_code error) {
        m_ports.decisions.write(
                error ? LogLevel::Warning : LogLevel::Info, "rollout-status", {},
                {{"key", key}, {"status", status}, {"stored", !error}, {"error", error.message()}});
    });
}

void RolloutController::advance(std::uint64_t deciderNumber)
{
    for (const RolloutState &state : m_ports.view.states())
        judge(state);
    if (std::exchange(m_deciderNumber, deciderNumber) != deciderNumber) {
        // Another instance may have written since.
        m_stateWriter.reset();
        m_statusWriter.reset();
    }
    if (m_deciderNumber == 0)
        return;
    m_stateWriter.advance();
    // An order can only be compared with the states of earlier holders.
    if (m_stateWriter.hasRead()) {
        for (const auto &[service, order] : m_ports.orders.newest())
            takeUp(order);
    }
    for (const RolloutState &state : m_ports.view.states())
        decide(state);
    for (const RolloutState &state : m_ports.view.states())
        store(state);
}

RolloutController::Notes &RolloutController::notesOn(const RolloutState &state)
{
    const Instant now = m_ports.now();
    const auto [entry, isNew] = m_notes.try_emplace(
            state.service, Notes{.watch = RolloutWatch(state), .phaseSince = now});
    Notes &notes = entry->second;
    if (notes.watch.order() != state.order)
        notes = {.watch = RolloutWatch(state), .phaseSince = now};
    if (std::exchange(notes.change, state.change) != state.change) {
        notes.phaseSince = now;
        notes.isWithdrawable = false;
    }
    return notes;
}

void RolloutController::judge(const RolloutState &state)
{
    Notes &notes = notesOn(state);
    const bool isOpen = state.phase == RolloutPhase::Trial || state.phase == RolloutPhase::Shifting
            || (state.phase == RolloutPhase::Completed && notes.isWithdrawable);
    if (!isOpen)
        return;
    notes.watch.update(m_ports.view.evidence(state.service), state.phase, m_ports.now());
    const RolloutVerdict &verdict = notes.watch.verdict();
    if (verdict.judgement != RolloutJudgement::Bad || notes.isSuspended)
        return;
    notes.isSuspended = true;
    m_ports.decisions.write(LogLevel::Warning, "rollout-target-bad", {},
                            {{"service", state.service.view()},
                             {"target", state.target.view()},
                             {"phase", rolloutPhaseName(state.phase)},
                             {"reason", verdict.reason},
                             {"answers", std::int64_t{verdict.answers}},
                             {"failures", std::int64_t{verdict.failures}}});
    m_ports.view.suspend(state.service, verdict.reason);
}

void RolloutController::adopt(const LogRecords &records)
{
    for (const LogRecord &record : records.records) {
        const auto state = decodeRolloutRecord(record.key, record.value);
        if (state)
            m_ports.view.apply(settle(*state), m_ports.now());
        else
            m_ports.decisions.write(LogLevel::Warning, "rollout-record-unreadable", {},
                                    {{"service", record.key}, {"offset", toLog(record.offset)}});
    }
    // What peers know may be newer.
    for (const RolloutState &state : m_ports.view.states())
        m_stateWriter.want(state.service.value(), encodeRolloutRecord(state));
}

// Two instances may have decided at the same time. What is stored counts, since the operator may
// have been told, but nothing is shifted to a target that has been found bad.
RolloutState RolloutController::settle(const RolloutState &stored) const
{
    const std::optional<RolloutState> known = find(stored.service);
    if (!known || known->order != stored.order || known->change != stored.change
        || known->phase == stored.phase)
        return stored;
    const bool isBad =
            known->phase == RolloutPhase::RollingBack && stored.phase == RolloutPhase::Shifting;
    RolloutState settled = isBad ? *known : stored;
    ++settled.change;
    return settled;
}

void RolloutController::takeUp(const RolloutOrder &order)
{
    const std::optional<RolloutState> known = find(order.service);
    if (!known) {
        begin(order, nullptr);
        return;
    }
    if (order.position < known->order || isSameOrder(order, *known, m_ports.now()))
        return;
    // The operator is told what became of the earlier target before the later order begins.
    if (isFinished(known->phase) && isReported(*known))
        begin(order, &*known);
    else if (!isFinished(known->phase) && known->phase != RolloutPhase::RollingBack)
        change(*known, {RolloutPhase::RollingBack, "another target was ordered"});
}

void RolloutController::begin(const RolloutOrder &order, const RolloutState *previous)
{
    const Versions usable = usableVersions(order.service);
    if (usable.empty() && m_ports.now() < order.orderedAt + listTime)
        return;
    const Versions serving = servingVersions(order, previous);
    const bool isServing = contains(usable, order.target)
            && std::ranges::all_of(serving, [&order](const SoftwareVersion &version) {
                               return version == order.target;
                           });
    RolloutState state{.service = order.service,
                       .target = order.target,
                       .order = order.position,
                       .orderedAt = order.orderedAt,
                       .dueAt = order.orderedAt + order.allowedTime};
    std::ranges::copy_if(
            serving, std::back_inserter(state.oldVersions),
            [&order](const SoftwareVersion &version) { return version != order.target; });
    change(state,
           isServing ? RolloutStep{RolloutPhase::Completed, "the target serves already"}
                     : RolloutStep{RolloutPhase::Trial, "ordered"});
}

RolloutController::Versions RolloutController::servingVersions(const RolloutOrder &order,
                                                               const RolloutState *previous) const
{
    const Versions usable = usableVersions(order.service);
    Versions serving;
    if (previous != nullptr) {
        const Versions after = previous->phase == RolloutPhase::Completed
                ? Versions{previous->target}
                : previous->oldVersions;
        std::ranges::copy_if(
                after, std::back_inserter(serving),
                [&usable](const SoftwareVersion &version) { return contains(usable, version); });
    }
    if (!serving.empty())
        return serving;
    std::ranges::copy_if(
            usable, std::back_inserter(serving),
            [&order](const SoftwareVersion &version) { return version != order.target; });
    return serving;
}

RolloutController::Versions RolloutController::usableVersions(const ServiceId &service) const
{
    const Instant now = m_ports.now();
    Versions versions;
    for (const auto &[id, endpoint] : m_ports.endpoints.all()) {
        const SoftwareVersion &software = endpoint.listing.software;
        if (endpoint.listing.service == service && endpoint.isUsable(now)
            && !contains(versions, software))
            versions.push_back(software);
    }
    return versions;
}

void RolloutController::decide(const RolloutState &state)
{
    const Notes &notes = notesOn(state);
    if (state.phase == RolloutPhase::RollingBack) {
        if (isReported(state))
            change(state, {RolloutPhase::RolledBack, "the operator has been told"});
        return;
    }
    const RolloutSituation situation{
            .verdict = notes.watch.verdict(),
            .phaseSince = notes.phaseSince,
            .targetIsListed = contains(usableVersions(state.service), state.target),
            .oldRuns = m_ports.view.runsBeside(state.service, state.target),
            .isWithdrawable = notes.isWithdrawable};
    if (const auto step = nextRolloutStep(state, situation, m_ports.now()))
        change(state, *step);
}

void RolloutController::change(RolloutState state, const RolloutStep &step)
{
    const Instant now = m_ports.now();
    state.phase = step.phase;
    ++state.change;
    Notes &notes = notesOn(state);
    notes.isWithdrawable = true;
    const RolloutVerdict &verdict = notes.watch.verdict();
    m_ports.decisions.write(LogLevel::Info, "rollout-phase", {},
                            {{"service", state.service.view()},
                             {"target", state.target.view()},
                             {"phase", rolloutPhaseName(state.phase)},
                             {"reason", step.reason},
                             {"answers", std::int64_t{verdict.answers}},
                             {"failures", std::int64_t{verdict.failures}},
                             {"since_order_ms", toMs(now - state.orderedAt)},
                             {"until_due_ms", toMs(state.dueAt - now)},
                             {"order", toLog(state.order)},
                             {"change", std::int64_t{state.change}}});
    m_ports.metrics.recordRolloutPhase(state.service.view(), rolloutPhaseName(state.phase));
    m_ports.view.apply(state, now);
}

void RolloutController::store(const RolloutState &state)
{
    const std::string record = encodeRolloutRecord(state);
    m_stateWriter.want(state.service.value(), record);
    m_stateWriter.advance();
    // The operator is told what has been stored, so that no later holder can decide otherwise.
    if (!m_stateWriter.isStored(state.service.value(), record))
        return;
    notesOn(state).isWithdrawable = false;
    m_statusWriter.want(m_ports.codec.rolloutStatusKey(state.service), statusOf(state));
    m_statusWriter.advance();
}

bool RolloutController::isReported(const RolloutState &state) const
{
    return m_statusWriter.isStored(m_ports.codec.rolloutStatusKey(state.service), statusOf(state));
}

std::string RolloutController::statusOf(const RolloutState &state) const
{
    return m_ports.codec.rolloutStatus(state.phase, state.target);
}

std::optional<RolloutState> RolloutController::find(const ServiceId &service) const
{
    const std::vector<RolloutState> states = m_ports.view.states();
    const auto entry = std::ranges::find(states, service, &RolloutState::service);
    return entry == states.end() ? std::nullopt : std::optional(*entry);
}

} // namespace monsoonsail
