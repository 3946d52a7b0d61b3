#pragma once

#include "servers/rollout/rollout_controller.h"
#include "servers/rollout/rollout_decider.h"
#include "tests/servers/duty_fixture.h"
#include "tests/servers/order_codec.h"
#include "tests/servers/recording_metrics.h"
#include "tests/servers/rollout_model.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// Simulates roll-outs of a service behind the instances of a DutyFixture, which exchange the
/// phases by digests and share the evidence.
class RolloutFixture : public DutyFixture
{
protected:
    static constexpr Duration allowedTime = std::chrono::seconds(16);

    /// The traffic of one instance.
    class View : public RolloutView
    {
    public:
        explicit View(RolloutFixture &fixture)
            : m_fixture(fixture)
        { }

        std::vector<RolloutState> states() const override;
        void apply(const RolloutState &state, Instant now) override;
        void suspend(const ServiceId &service, std::string_view reason) override;
        std::vector<VersionEvidence> evidence(const ServiceId &service) const override;
        double runsBeside(const ServiceId &service, const SoftwareVersion &target) const override;
        /// Returns the share of the requests that goes to the target.
        double targetShare() const;

        bool sendsDigests = true;

    private:
        RolloutFixture &m_fixture;
        std::optional<RolloutState> m_state;
        LogOffset m_suspendedOrder = LogOffset(-1);
    };

    /// What an instance decides about roll-outs.
    struct Part
    {
        std::unique_ptr<View> view;
        std::unique_ptr<RolloutOrders> orders;
        std::unique_ptr<RolloutDecider> decider;
        std::unique_ptr<RolloutController> controller;
        std::size_t ordersRead = 0; ///< Records of the topic of orders.
        StoreEra era = 0;
    };

    /// A status record and the time at which it was stored.
    struct Status
    {
        Instant at;
        std::string text;
    };

    /// Starts three instances, an old version and, unless it never starts, the target.
    void startSite(bool hasTarget = true);
    void listEndpoint(const std::string &name, const std::string &version);
    void removeEndpoint(const std::string &name);
    /// Removes all instances, and what the store knows, for another run in the same test.
    void restart();
    /// Writes an order at the present time. One for another target than before is a new one.
    void order(const std::string &target, Duration allowed = allowedTime);
    /// Lets time pass with traffic and decisions.
    void run(Duration duration);
    /// Lets time pass until the last status is `text`. Fails after a minute.
    void runUntilStatus(const std::string &text);
    void killInstance(Instance &instance);
    std::string lastStatus() const;
    std::ptrdiff_t statusCount(const std::string &text) const;
    /// Returns the phase that the store has.
    std::optional<RolloutPhase> storedPhase();
    /// Checks that the last status is the text, and was stored in time.
    void checkEnded(const std::string &text) const;
    /// Checks the limits on the exposure to a bad version.
    void checkExposure() const;

    OrderCodec m_codec;
    RecordingMetrics m_metrics;
    EndpointRegistry m_endpoints;
    RolloutModel m_model{1};
    std::map<std::string, Part> m_parts; ///< By instance.
    std::vector<Status> m_statuses;
    std::string m_target;
    Instant m_orderedAt;
    Instant m_dueAt;
    Instant m_lastOldRequestAt;
    std::optional<Instant> m_limitReachedAt; ///< Time of the 50th bad answer.
    Instant m_lastTargetRequestAt;
    unsigned m_requestsInTime = 0; ///< Between the order and its deadline.

private:
    void startPart(Instance &instance);
    void readOrders(Part &part);
    void exchangeDigests();
    void sendRequests();

    int m_ticks = 0;
};

} // namespace monsoonsail
