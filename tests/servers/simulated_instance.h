#pragma once

#include "servers/endpoints/endpoint_exchange.h"
#include "servers/mesh/instance_discovery.h"
#include "servers/mesh/mesh.h"
#include "servers/mesh/process_pause_detector.h"
#include "servers/site/configuration_feed.h"
#include "servers/site/configuration_fetcher.h"
#include "tests/servers/incarnation_codec.h"
#include "tests/servers/mesh_datagram.h"
#include "tests/servers/process_gate.h"
#include "tests/servers/recording_metrics.h"
#include "tests/servers/recording_traffic.h"
#include "tests/servers/silent_log.h"
#include "tests/servers/simulated_network.h"
#include "tests/servers/simulated_store_client.h"

#include <cstdint>
#include <memory>
#include <string>

namespace monsoonsail {

/// One process of an entry instance, with the parts of the control plane that keep its endpoints
/// and its configuration up to date.
class SimulatedInstance : private BulletinPort, private ConfigurationPort
{
public:
    struct Identity
    {
        std::string name; ///< Also its address.
        std::string incarnation;
        ZoneId zone;
        Duration clockOffset{}; ///< Its clock minus that of the scheduler.
        Duration drainTime{};   ///< As in ServingLimits.
        Duration configurationTime{};
    };

    /// The references must outlive the object, and the object the scheduler's tasks.
    SimulatedInstance(const Identity &identity, VirtualScheduler &scheduler, SimulatedStore &store,
                      const StoreState &storeState, SimulatedNetwork &network);

    void start();
    void freeze() { m_gate->freeze(); }
    void resume() { m_gate->resume(); }
    /// Ends the process at once, as a kill does.
    void end() { m_gate->end(); }
    void receive(const MeshDatagram &datagram);

    bool isFrozen() const { return m_gate->isFrozen(); }
    bool isReader() const { return m_exchange.isReader(); }
    bool isUsable(const EndpointId &endpoint) const;
    /// Returns the revision of the configuration in force, 0 before the first.
    Revision revision() const;
    bool knows(const EndpointId &id) const { return m_context.endpoints.find(id) != nullptr; }
    /// Reads the whole list, as after a freeze.
    void refresh() { m_exchange.refresh(); }

private:
    TopicFollower::Scheduler makeScheduler();
    Instant now() const { return m_scheduler.now() + m_identity.clockOffset; }
    void after(Duration delay, std::function<void()> task);
    void tick();
    void updateConfigurationReading();
    void sendDigest();
    void broadcastDigest();
    void handleDigest(const Digest &digest);
    void handleBulletin(std::string_view bytes);
    void send(const Bulletin &bulletin, std::span<const std::string> targets) override;
    void fetch(const std::string &address, Instant deadline, FetchDone done) override;
    void finishFetch(std::error_code error, std::string_view text);

    const Identity m_identity;
    VirtualScheduler &m_scheduler;
    SimulatedNetwork &m_network;
    const std::shared_ptr<ProcessGate> m_gate;
    RecordingTraffic m_traffic;
    SilentLog m_log;
    RecordingMetrics m_metrics;
    IncarnationCodec m_codec;
    ServingContext m_context;
    SimulatedStoreClient m_storeClient;
    ConfigurationFeed m_configurationFeed;
    TopicFollower m_configurationFollower;
    ConfigurationFetcher m_configurationFetcher;
    FetchDone m_fetchDone; ///< Of the fetch in progress.
    unsigned m_fetches = 0;
    Mesh m_mesh;
    EndpointExchange m_exchange;
    InstanceDiscovery m_discovery;
    ProcessPauseDetector m_pauseDetector;
    std::uint64_t m_digestsSent = 0;
};

} // namespace monsoonsail
