#pragma once

#include "drivers/http/curl_client.h"
#include "drivers/logging/json_decision_log.h"
#include "drivers/loop/event_loop.h"
#include "drivers/mesh/mesh_socket.h"
#include "drivers/metrics/prometheus_metrics.h"
#include "drivers/settings/serving_settings.h"
#include "drivers/traffic/local_server.h"
#include "platform/duty_client.h"
#include "platform/store_client.h"
#include "platform/store_site_codec.h"
#include "servers/allowance/allowance_journal.h"
#include "servers/duties/duty_election.h"
#include "servers/duties/usage_reporter.h"
#include "servers/endpoints/endpoint_feed.h"
#include "servers/fleet/fleet_manager.h"
#include "servers/mesh/instance_discovery.h"
#include "servers/mesh/mesh.h"
#include "servers/mesh/process_pause_detector.h"
#include "servers/ports/traffic_listener.h"
#include "servers/serving/serving_core.h"
#include "servers/site/configuration_feed.h"
#include "servers/store/reader_role.h"
#include "servers/store/topic_follower.h"

#include <optional>

namespace monsoonsail {

/// The core of one entry daemon with everything that it hears from the platform. For the thread of
/// its loop, the control thread.
class ControlPlane : public TrafficListener, private MeshReceiver
{
public:
    /// All references must outlive the object.
    ControlPlane(const ServingSettings &settings, EventLoop &loop, TrafficPort &traffic,
                 LogWriter &logWriter, const std::string &incarnation);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Starts to follow the platform and to answer readiness checks.
    void start();
    /// Begins a planned stop; the loop ends when it is over. Repeating it changes nothing.
    void requestStop();
    /// Takes over changed settings. Addresses to listen on stay as they are.
    void apply(const ServingSettings &settings);

    void onRequestArrived(const RequestArrival &request) override;
    void onCallerDisconnected(RequestNumber request) override;
    void onStreamsProgressed(std::span<const StreamProgress> streams) override;
    void onAttemptEnded(const AttemptEnd &end) override;
    void onRunMoveEnded(const RunMoveEnd &end) override;
    void onEndpointLeaving(const EndpointId &endpoint) override;

private:
    TopicFollower::Scheduler scheduler();
    LocalServer::Response answerReadiness(const RequestHead &head) const;
    LocalServer::Response answerMetrics(const RequestHead &head);
    bool isReady() const;
    void armDeadlineTimer();
    void expireDeadlines();
    void tick();
    void manageFleet();
    void updateReaderRole();
    Duration digestInterval() const;
    void sendDigest();
    void broadcastDigest();
    void sendBulletin();
    void handleDigest(Digest digest) override;
    void handleBulletin(const Bulletin &bulletin) override;
    void checkStop();

    ServingSettings m_settings;
    const std::string m_incarnation;
    EventLoop &m_loop;
    LogWriter &m_logWriter;
    JsonDecisionLog m_decisionLog;
    PrometheusMetrics m_metrics;
    ServingContext m_context;
    ServingCore m_core;
    CurlClient m_httpClient;
    platform::StoreClient m_storeClient;
    platform::StoreSiteCodec m_codec;
    ConfigurationFeed m_configurationFeed;
    EndpointFeed m_endpointFeed;
    TopicFollower m_configurationFollower;
    TopicFollower m_endpointFollower;
    Mesh m_mesh;
    MeshSocket m_meshSocket;
    InstanceDiscovery m_instanceDiscovery;
    ReaderRole m_readerRole;
    ProcessPauseDetector m_pauseDetector;
    platform::DutyClient m_dutyClient;
    DutyElection m_dutyKeeper;
    UsageReporter m_usageReporter;
    FleetManager m_fleetManager;
    AllowanceJournal m_allowanceJournal;
    std::optional<LocalServer> m_readyServer;
    std::optional<LocalServer> m_metricsServer; ///< Only if the settings name an address.
    TimerQueue::Handle m_deadlineTimer;
    TimerQueue::Handle m_tickTimer;
    TimerQueue::Handle m_digestTimer;
    Instant m_bulletinSentAt;
    std::uint64_t m_bulletinRound = 0;
    std::uint64_t m_digestsSent = 0;
    bool m_isStopping = false;
    Instant m_stopRequestedAt;
};

} // namespace monsoonsail
