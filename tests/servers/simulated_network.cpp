#include "tests/servers/simulated_network.h"

namespace monsoonsail {

namespace {

constexpr double minDelayMs = 0.2;
constexpr double typicalDelayMs = 3;
/// Some datagrams are late, so that they overtake each other.
constexpr double lateShare = 0.01;
constexpr double lateDelayMs = 80;

void setMember(std::set<std::string> &names, const std::string &name, bool isMember)
{
    if (isMember)
        names.insert(name);
    else
        names.erase(name);
}

} // namespace

SimulatedNetwork::SimulatedNetwork(VirtualScheduler &scheduler, std::uint64_t seed)
    : m_scheduler(scheduler)
    , m_random(seed)
{ }

void SimulatedNetwork::send(const MeshDatagram &datagram)
{
    if (isLost(datagram))
        return;
    m_scheduler.at(m_scheduler.now() + delay(), [this, datagram] { m_receiver(datagram); });
}

void SimulatedNetwork::setOutgoingCut(const std::string &instance, bool isCut)
{
    setMember(m_outgoingCuts, instance, isCut);
}

void SimulatedNetwork::setIncomingCut(const std::string &instance, bool isCut)
{
    setMember(m_incomingCuts, instance, isCut);
}

void SimulatedNetwork::setLinkCut(const std::string &from, const std::string &to, bool isCut)
{
    if (isCut)
        m_linkCuts.emplace(from, to);
    else
        m_linkCuts.erase({from, to});
}

bool SimulatedNetwork::isLost(const MeshDatagram &datagram)
{
    if (m_outgoingCuts.contains(datagram.from) || m_incomingCuts.contains(datagram.to))
        return true;
    if (!m_linkCuts.empty() && m_linkCuts.contains({datagram.from, datagram.to}))
        return true;
    if (m_dropFilter && m_dropFilter(datagram))
        return true;
    return m_loss > 0 && m_random.fraction() < m_loss;
}

Duration SimulatedNetwork::delay()
{
    const bool isLate = m_random.fraction() < lateShare;
    return fromMs(minDelayMs + m_random.fraction() * (isLate ? lateDelayMs : typicalDelayMs));
}

} // namespace monsoonsail
