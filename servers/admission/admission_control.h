#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/random_source.h"
#include "servers/admission/engine_throughput.h"
#include "servers/admission/offered_work.h"
#include "servers/admission/place_refusal.h"
#include "servers/admission/place_request.h"
#include "servers/admission/service_pressure.h"
#include "servers/allowance/account_rate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace monsoonsail {

/// Requests of all instances that are at the engines of a service, and their batch slots.
struct EngineUse
{
    double running = 0;
    double slots = 0;
};

/// Decides before the first attempt of a request whether the engines of its service have a place
/// for it.
///
/// Load: more is asked of the engines than they can do, since an account floods or engines are
/// lost. The work that stands before the engines stays bounded whatever is asked, so what is
/// admitted is answered in time.
class AdmissionControl
{
public:
    explicit AdmissionControl(std::uint64_t seed)
        : m_random(seed)
    { }

    /// Whether updateAccounts() is due.
    bool needsAccounts(Instant now) const;
    /// Sets the demand of the accounts, the number of instances, and the age of what is known of
    /// the others. `missesPeers` tells whether others serve without being heard.
    void updateAccounts(std::vector<AccountRate> rates, unsigned instances, Duration digestAge,
                        bool missesPeers, Instant now);
    /// Whether updateUse() is due for the service.
    bool needsUse(const ServiceId &service, Instant now) const;
    void updateUse(const ServiceId &service, const EngineUse &use, Instant now);

    /// Returns why a new request is refused, or std::nullopt if it is admitted. Counts its demand.
    std::optional<PlaceRefusal> refuse(const PlaceRequest &request, Instant now);
    /// Records an attempt on an engine.
    void recordStart(AttemptNumber attempt, const PlaceRequest &request, Instant now);
    void recordFirstEvent(AttemptNumber attempt, Instant now);
    /// `wasDeclined` tells whether the engine did not run it.
    void recordEnd(AttemptNumber attempt, bool wasDeclined, Instant now);

private:
    struct ServiceState
    {
        ServicePressure pressure;
        EngineThroughput throughput;
        EngineUse use;
        Instant useUpdatedAt;
    };
    /// A run that has no event yet, or has not ended.
    struct Run
    {
        ServiceId service;
        unsigned urgency = 0;
        Instant startedAt;
        Instant expectedFirstEventAt;
        Duration goal{};
        bool hasEvents = false;
    };

    std::optional<PlaceRefusal> refuseLate(const PlaceRequest &request, const ServiceState &service,
                                           Instant now);
    std::optional<PlaceRefusal> refuseByShare(const PlaceRequest &request,
                                              const ServiceState &service, Instant now);
    /// Returns the lateness of this instance's own requests that have no event yet.
    double waitingLateness(const PlaceRequest &request, Instant now) const;
    /// Returns the delay due to work that other instances have placed, but not reported yet.
    double unreportedSeconds(const ServiceState &service, Instant now) const;
    Instant retryTime(double seconds, Instant now);

    RandomSource m_random;
    OfferedWork m_offered;
    std::map<ServiceId, ServiceState> m_services;
    std::map<AttemptNumber, Run> m_runs;
    std::vector<AccountRate> m_rates;
    unsigned m_instances = 1;
    Duration m_digestAge{};
    bool m_missesPeers = false;
    Instant m_ratesUpdatedAt;
};

} // namespace monsoonsail
