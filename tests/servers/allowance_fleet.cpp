#include "tests/servers/allowance_fleet.h"

#include <algorithm>
#include <string>

namespace monsoonsail {

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr int stepsPerReservation = 10;

std::string nameOf(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

const AccountId &account()
{
    static const AccountId name("club");
    return name;
}

} // namespace

AllowanceFleet::AllowanceFleet(std::size_t instances, const AllowanceRules &rules, double rate,
                               double burst, std::uint64_t seed)
    : m_rules(rules)
    , m_random(seed)
    , m_instances(instances)
{
    for (std::size_t index = 0; index < instances; ++index) {
        Instance &instance = m_instances.at(index);
        instance.ledger = std::make_unique<AllowanceLedger>(rules, seed * instances + index);
        instance.mesh = std::make_unique<Mesh>(nameOf(index), nameOf(index));
        for (std::size_t other = 0; other < instances; ++other)
            instance.mesh->addCandidate(nameOf(other), m_now);
        instance.ledger->configure(
                {{.name = account(),
                  .allowance = {.perSecond = rate, .burst = burst, .countsTokens = true}}},
                m_now);
        instance.nextDigest = m_now + fromSeconds(0.25 * m_random.fraction());
    }
}

void AllowanceFleet::kill(std::size_t instance)
{
    m_instances.at(instance).isKilled = true;
}

void AllowanceFleet::setLink(Duration delay, double lostFraction)
{
    m_delay = delay;
    m_lostFraction = lostFraction;
}

void AllowanceFleet::run(Duration duration, std::span<const AllowanceStream> streams)
{
    const Instant end = m_now + duration;
    for (int tick = 0; m_now < end; ++tick) {
        m_now += step;
        for (std::size_t index = 0; index < m_instances.size(); ++index) {
            Instance &instance = m_instances.at(index);
            if (tick % stepsPerReservation == 0)
                instance.ledger->updateReservations(*instance.mesh, m_now);
            if (!instance.isKilled && m_now >= instance.nextDigest)
                sendDigest(index);
        }
        deliverDigests();
        for (const AllowanceStream &stream : streams) {
            double expected = stream.tokensPerSecond * toSeconds(step) / stream.tokens;
            for (; m_random.fraction() < expected; expected -= 1)
                sendRequest(stream);
        }
    }
}

void AllowanceFleet::sendDigest(std::size_t sender)
{
    Instance &instance = m_instances.at(sender);
    const Duration interval = instance.mesh->digestInterval(false);
    instance.nextDigest = m_now + interval;
    const bool isComplete = instance.mesh->consumeCompleteDue();
    const auto digest = std::make_shared<const Digest>(
            Digest{.instance = nameOf(sender),
                   .incarnation = nameOf(sender),
                   .address = nameOf(sender),
                   .sequence = ++instance.sequence,
                   .sentAt = m_now,
                   .interval = interval,
                   .accountUses = instance.ledger->collectDigestUses(isComplete),
                   .isComplete = isComplete});
    for (std::size_t other = 0; other < m_instances.size(); ++other) {
        if (other != sender && m_random.fraction() >= m_lostFraction)
            m_transit.push_back({m_now + m_delay, other, digest});
    }
}

void AllowanceFleet::deliverDigests()
{
    for (; !m_transit.empty() && m_transit.front().arrivesAt <= m_now; m_transit.pop_front()) {
        Instance &receiver = m_instances.at(m_transit.front().receiver);
        if (receiver.isKilled)
            continue;
        if (const Peer *peer = receiver.mesh->applyDigest(*m_transit.front().digest, m_now))
            receiver.ledger->applyPeerDigest(*peer, m_now);
    }
}

void AllowanceFleet::sendRequest(const AllowanceStream &stream)
{
    std::size_t index = m_random.integerBelow(m_instances.size());
    while (m_instances.at(index).isKilled)
        index = m_random.integerBelow(m_instances.size());
    const double tokens = stream.tokens * (0.4 + 1.2 * m_random.fraction());
    m_outcomes.push_back({.at = m_now,
                          .urgency = stream.urgency,
                          .tokens = tokens,
                          .retryAt = m_instances.at(index).ledger->admit(account(), tokens, m_now,
                                                                         AdmissionPriority::New,
                                                                         stream.urgency)});
}

double AllowanceFleet::maxUsed() const
{
    double largest = 0;
    double used = 0;
    auto oldest = m_outcomes.begin();
    for (const AllowanceOutcome &outcome : m_outcomes) {
        used += outcome.retryAt ? 0 : outcome.tokens;
        for (; oldest->at + m_rules.window < outcome.at; ++oldest)
            used -= oldest->retryAt ? 0 : oldest->tokens;
        largest = std::max(largest, used);
    }
    return largest;
}

double AllowanceFleet::admittedTokens(Instant from, Instant to) const
{
    double sum = 0;
    for (const AllowanceOutcome &outcome : m_outcomes)
        sum += outcome.at >= from && outcome.at < to && !outcome.retryAt ? outcome.tokens : 0;
    return sum;
}

double AllowanceFleet::admittedFraction(unsigned urgency, Instant from, Instant to) const
{
    double sent = 0;
    double admitted = 0;
    for (const AllowanceOutcome &outcome : m_outcomes) {
        if (outcome.urgency != urgency || outcome.at < from || outcome.at >= to)
            continue;
        sent += 1;
        admitted += outcome.retryAt ? 0 : 1;
    }
    return sent > 0 ? admitted / sent : 1;
}

std::size_t AllowanceFleet::refusals(Instant from) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_outcomes, [from](const auto &outcome) {
        return outcome.at >= from && outcome.retryAt;
    }));
}

} // namespace monsoonsail
