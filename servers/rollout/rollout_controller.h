#pragma once

#include "servers/endpoints/endpoint_registry.h"
#include "servers/ports/decision_log.h"
#include "servers/ports/record_log.h"
#include "servers/ports/serving_metrics.h"
#include "servers/ports/site_codec.h"
#include "servers/rollout/keyed_record_writer.h"
#include "servers/rollout/rollout_orders.h"
#include "servers/rollout/rollout_plan.h"
#include "servers/rollout/rollout_view.h"
#include "servers/rollout/rollout_watch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// Replaces the software versions of services as ordered. On every instance it judges the target
/// and stops sending to a bad one; one of them also decides on the phases (RolloutDecider),
/// stores them and tells the operator. Load: one roll-out of a service at a time, some evaluations
/// a second.
class RolloutController
{
public:
    /// References must outlive the controller, and the controller its pending calls.
    struct Ports
    {
        RolloutView &view;
        const RolloutOrders &orders;
        const EndpointRegistry &endpoints;
        const SiteCodec &codec;
        RecordLog &store;
        std::function<Instant()> now;
        ServingMetrics &metrics;
        DecisionLog &decisions;
    };

    explicit RolloutController(const Ports &ports);

    /// Judges the targets, and decides if `deciderNumber` is not 0 (RolloutDecider). Call several
    /// times a second.
    void advance(std::uint64_t deciderNumber);

private:
    using Versions = std::vector<SoftwareVersion>;

    /// What this instance has noted about the present state of a service.
    struct Notes
    {
        RolloutWatch watch;
        std::uint32_t change = 0;
        Instant phaseSince;
        bool isSuspended = false;
        /// Whether this instance has decided on the phase and has not begun to tell the operator.
        bool isWithdrawable = false;
    };

    Notes &notesOn(const RolloutState &state);
    void judge(const RolloutState &state);
    void adopt(const LogRecords &records);
    /// Returns the state to apply after another instance has stored this one.
    RolloutState settle(const RolloutState &stored) const;
    void takeUp(const RolloutOrder &order);
    void begin(const RolloutOrder &order, const RolloutState *previous);
    /// Returns the versions that serve when the order is taken up.
    Versions servingVersions(const RolloutOrder &order, const RolloutState *previous) const;
    Versions usableVersions(const ServiceId &service) const;
    void decide(const RolloutState &state);
    void change(RolloutState state, const RolloutStep &step);
    void store(const RolloutState &state);
    /// Whether the store has the status that tells the operator about the state.
    bool isReported(const RolloutState &state) const;
    std::string statusOf(const RolloutState &state) const;
    std::optional<RolloutState> find(const ServiceId &service) const;

    const Ports m_ports;
    KeyedRecordWriter m_stateWriter;
    KeyedRecordWriter m_statusWriter;
    std::uint64_t m_deciderNumber = 0; ///< At the last advance().
    std::map<ServiceId, Notes> m_notes;
};

} // namespace monsoonsail
