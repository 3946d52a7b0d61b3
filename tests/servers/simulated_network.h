#pragma once

#include "core/random_source.h"
#include "tests/servers/mesh_datagram.h"
#include "tests/servers/virtual_scheduler.h"

#include <functional>
#include <set>
#include <string>
#include <utility>

namespace monsoonsail {

/// Carries datagrams between simulated instances, late or not at all.
class SimulatedNetwork
{
public:
    using Receiver = std::function<void(const MeshDatagram &)>;
    using Filter = std::function<bool(const MeshDatagram &)>;

    SimulatedNetwork(VirtualScheduler &scheduler, std::uint64_t seed);

    void setReceiver(Receiver receiver) { m_receiver = std::move(receiver); }
    /// Sets the share of datagrams that get lost.
    void setLoss(double loss) { m_loss = loss; }
    /// Sets a condition under which datagrams are dropped, or none.
    void setDropFilter(Filter filter) { m_dropFilter = std::move(filter); }

    void send(const MeshDatagram &datagram);

    /// Cuts or restores what the instance sends, what it receives, or one direction of a link.
    void setOutgoingCut(const std::string &instance, bool isCut);
    void setIncomingCut(const std::string &instance, bool isCut);
    void setLinkCut(const std::string &from, const std::string &to, bool isCut);

private:
    bool isLost(const MeshDatagram &datagram);
    Duration delay();

    VirtualScheduler &m_scheduler;
    RandomSource m_random;
    Receiver m_receiver;
    Filter m_dropFilter;
    double m_loss = 0;
    std::set<std::string> m_outgoingCuts;
    std::set<std::string> m_incomingCuts;
    std::set<std::pair<std::string, std::string>> m_linkCuts;
};

} // namespace monsoonsail
