#pragma once

#include "drivers/http/curl_client.h"
#include "drivers/logging/json_decision_log.h"
#include "drivers/loop/event_loop.h"
#include "drivers/mesh/configuration_client.h"
#include "drivers/mesh/mesh_socket.h"
#include "drivers/metrics/prometheus_metrics.h"
#include "drivers/settings/serving_settings.h"
#include "drivers/traffic/local_server.h"
#include "main/monsoonsaild/caller_fault_report.h"
#include "platform/duty_client.h"
#include "platform/store_client.h"
#include "platform/store_site_codec.h"
#include "servers/allowance/allowance_journal.h"
#include "servers/duties/duty_election.h"
#include "servers/duties/usage_reporter.h"
#include "servers/endpoints/endpoint_exchange.h"
#include "servers/fleet/fleet_manager.h"
#include "servers/mesh/instance_discovery.h"
#include "servers/mesh/mesh.h"
#include "servers/mesh/process_pause_detector.h"
#include "servers/ports/traffic_listener.h"
#include "servers/rollout/rollout_controller.h"
#include "servers/rollout/rollout_decider.h"
#include "servers/rollout/rollout_versions.h"
#include "servers/serving/serving_core.h"
#include "servers/site/configuration_feed.h"
#include "servers/site/configuration_fetcher.h"
#include "servers/site/configuration_keeper.h"
#include "servers/store/topic_fan_out.h"
#include "servers/store/topic_follower.h"
#include "servers/versions/version_directory.h"

#include <memory>
#include <optional>
#include <vector>

namespace monsoonsail {

/// Connects the serving core of an entry daemon with the platform, the other entry instances and
/// the traffic. Runs on the thread of its event loop, the control thread.
class ControlPlane : public TrafficListener, private MeshReceiver
{
public:
    /// All references must outlive the object.
    ControlPlane(const ServingSettings &settings, EventLoop &loop, TrafficPort &traffic,
                 LogWriter &logWriter, const std::string &incarnation, CallerFaults &callerFaults);
    ~ControlPlane() override;
    ControlPlane(const ControlPlane &) = delete;
    ControlPlane &operator=(const ControlPlane &) = delete;

    /// Starts to read the platform's store, to exchange digests and to answer readiness checks.
    void start();
    /// Begins a planned stop, at the end of which the loop ends. Further calls have no effect.
    void requestStop();
    /// Applies changed settings. Open sockets keep the addresses that they listen on.
    void applySettings(const ServingSettings &settings);

    void onRequestArrived(const RequestArrival &request) override;
    void onCallerDisconnected(RequestNumber request) override;
    void onStreamsProgressed(std::span<const StreamProgress> streams) override;
    void onAttemptEnded(const AttemptEnd &end) override;
    void onRunMoveEnded(const RunMoveEnd &end) override;
    void onEndpointChecked(const EndpointCheckEnd &end) override;
    void onEndpointLimitReported(const EndpointLimitReport &report) override;
    void onEndpointLeaving(const EndpointId &endpoint) override;
    void onCallersClosed() override;

private:
    TopicFollower::Scheduler makeScheduler();
    CallerLimits localLimits() const;
    LocalServer::Response answerReadiness(const RequestHead &head) const;
    LocalServer::Response answerMetrics(const RequestHead &head);
    void startPeerServer();
    /// Answers other entry instances.
    LocalServer::Response answerPeer(const RequestHead &head) const;
    bool isReady() const;
    void armDeadlineTimer();
    void expireDeadlines();
    void tick();
    void manageFleet();
    void updateEndpointLimits();
    void updateConfigurationReading();
    RolloutController::Ports makeRolloutPorts();
    /// Whether this instance has to follow the operator's orders, whoever reads for the others.
    bool needsOrders() const;
    void advanceRollouts();
    Duration digestInterval() const;
    /// Broadcasts a digest and schedules the next one.
    void sendDigest();
    /// Sends a digest to all targets. Holders of the duties get it with the counts of usage.
    void broadcastDigest();
    void handleDigest(Digest digest) override;
    void handleBulletin(const Bulletin &bulletin) override;
    void checkStop();
    /// Ends all requests and closes the connections of callers.
    void closeCallers();
    void finishStop();

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
    platform::StoreSiteCodec m_siteCodec;
    ConfigurationFeed m_configurationFeed;
    RolloutOrders m_rolloutOrders;
    TopicFanOut m_operatorRecords;
    TopicFollower m_configurationFollower;
    ConfigurationKeeper m_configurationKeeper;
    ConfigurationClient m_configurationClient;
    ConfigurationFetcher m_configurationFetcher;
    Mesh m_mesh;
    MeshSocket m_meshSocket;
    EndpointExchange m_endpointExchange;
    VersionDirectory m_versionDirectory;
    InstanceDiscovery m_instanceDiscovery;
    ProcessPauseDetector m_pauseDetector;
    platform::DutyClient m_dutyClient;
    DutyElection m_dutyElection;
    UsageReporter m_usageReporter;
    FleetManager m_fleetManager;
    std::unique_ptr<RolloutView> m_rolloutView;
    RolloutVersions m_rolloutVersions;
    RolloutDecider m_rolloutDecider;
    RolloutController m_rolloutController;
    AllowanceJournal m_allowanceJournal;
    CallerFaults &m_callerFaults;
    CallerFaultReport m_callerFaultReport;
    std::optional<LocalServer> m_readyServer;
    std::optional<LocalServer> m_peerServer;
    std::optional<LocalServer> m_metricsServer; ///< Empty if the settings have no address for it.
    TimerQueue::Handle m_deadlineTimer;
    TimerQueue::Handle m_tickTimer;
    TimerQueue::Handle m_digestTimer;
    std::uint64_t m_digestsSent = 0;
    bool m_isStopping = false;
    bool m_isClosingCallers = false;
    std::vector<TimerQueue::Handle> m_stopTimers;
    Instant m_stopRequestedAt;
};

} // namespace monsoonsail
