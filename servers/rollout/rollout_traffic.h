#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/random_source.h"
#include "servers/endpoints/endpoint_registry.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/serving_metrics.h"
#include "servers/rollout/known_versions.h"
#include "servers/rollout/rollout_run.h"
#include "servers/rollout/rollout_state.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Decides which software versions of a service the runs of this instance may use while a new
/// version is rolled out. Bounds the requests that a version gets that may be bad; the load that it
/// addresses is a service with hundreds of requests a second over up to 118 instances.
class RolloutTraffic
{
public:
    /// Time for which a version that appears beside others gets a bounded share without an order.
    static constexpr Duration graceTime = std::chrono::milliseconds(2000);

    RolloutTraffic(DecisionLog &log, ServingMetrics &metrics, std::uint64_t seed);

    /// Enables roll-outs. `share` is the largest part of a service's requests that a version on
    /// trial may get; without one, roll-outs are disabled.
    void setExposureShare(std::optional<double> share);
    bool isEnabled() const { return m_sampledShare > 0; }
    /// Sets the function to call when apply() has found a state that is newer than the known one.
    void setNewsHandler(std::function<void()> handler) { m_newsHandler = std::move(handler); }

    /// Applies a state from the store unless it is older than the known one.
    void apply(const RolloutState &state, Instant now);
    /// Applies the states in a peer's digest. `clockOffset` is its clock minus the local clock.
    void applyPeerStates(std::span<const RolloutState> states, Duration clockOffset, Instant now);
    /// Returns the newest known state of each service.
    std::vector<RolloutState> states() const;
    /// Returns the states for the next digest: all for a complete one, otherwise those that may
    /// change or have changed lately.
    std::vector<RolloutState> digestStates(bool isComplete, Instant now) const;
    /// Returns the newest known state of a service, or nullptr.
    const RolloutState *find(const ServiceId &service) const;
    /// Sends nothing more to the target of the service's current order, unless that is completed. A
    /// later order lifts it.
    void suspend(const ServiceId &service, std::string_view reason);
    bool isSuspended(const ServiceId &service) const;
    /// Updates which versions are new. Called several times a second.
    void observe(const EndpointRegistry &endpoints, Instant now);

    /// Counts a new request of the service, and returns whether its first run may go to a version
    /// on trial.
    bool sample(const ServiceId &service);
    /// Returns those of `usable`, which are all usable endpoints of the service, that the run may
    /// be sent to now.
    std::vector<const Endpoint *> mayUse(const RolloutRun &run,
                                         std::span<const RolloutCandidate> usable, Instant now);
    /// Counts an attempt of the run that is sent to an endpoint with the version.
    void recordStart(const RolloutRun &run, const SoftwareVersion &software, Instant now);

private:
    /// For what new runs a version may be used.
    enum class Use {
        Ordinary,
        Trial,     ///< Sampled requests only.
        Preferred, ///< All, if it has endpoints enough.
        Reserve,   ///< What the preferred version can't take.
        Banned,    ///< None, unless nothing else is listed.
    };
    struct ServiceRollout
    {
        std::optional<RolloutState> state;
        Instant heardAt; ///< When this instance learned of the state.
        bool isSuspended = false;
        bool isTargetMissing = false; ///< Whether the log says that sampled requests find none.
        /// Targets of earlier orders that were not completed.
        std::set<SoftwareVersion> abandoned;
        KnownVersions versions;
        double credit = 0; ///< Runs that versions on trial may get.
    };
    static constexpr std::size_t useCount = 5;
    using Uses = std::bitset<useCount>; ///< Indexed by Use.
    struct ClassifiedCandidate
    {
        RolloutCandidate candidate;
        Use use = Use::Ordinary;
    };

    ServiceRollout &entry(const ServiceId &service);
    bool applyIfNewer(const RolloutState &state, std::string_view source, Instant now);
    static Use useOf(const ServiceRollout &rollout, const SoftwareVersion &software, Instant now);
    static Uses usesOf(std::initializer_list<Use> uses);
    /// Returns the uses that are open to a run that is not sampled.
    static Uses mainUses(const ServiceRollout &rollout,
                         std::span<const ClassifiedCandidate> candidates);
    /// Returns the endpoints of the version on trial that sampled requests use, if any is free.
    std::vector<const Endpoint *>
    sampledEndpoints(const ServiceRollout &rollout,
                     std::span<const ClassifiedCandidate> candidates) const;
    void reportTarget(ServiceRollout &rollout, bool isMissing);

    DecisionLog &m_log;
    ServingMetrics &m_metrics;
    RandomSource m_random;
    double m_sampledShare = 0; ///< Part of the requests that is sampled; 0 while disabled.
    std::map<ServiceId, ServiceRollout> m_services;
    std::function<void()> m_newsHandler;
};

} // namespace monsoonsail
