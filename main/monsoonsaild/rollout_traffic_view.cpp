#include "main/monsoonsaild/rollout_traffic_view.h"

namespace monsoonsail {

namespace {

class RolloutTrafficView : public RolloutView
{
public:
    explicit RolloutTrafficView(ServingContext &context)
        : m_context(context)
    { }

    std::vector<RolloutState> states() const override { return m_context.rolloutTraffic.states(); }
    void apply(const RolloutState &state, Instant now) override
    {
        m_context.rolloutTraffic.apply(state, now);
    }
    void suspend(const ServiceId &service, std::string_view reason) override
    {
        m_context.rolloutTraffic.suspend(service, reason);
    }
    std::vector<VersionEvidence> evidence(const ServiceId &service) const override
    {
        return m_context.rolloutEvidence.totals(service);
    }
    double runsBeside(const ServiceId &service, const SoftwareVersion &target) const override
    {
        const Service *config =
                m_context.configuration ? m_context.configuration->findService(service) : nullptr;
        if (config == nullptr)
            return 0;
        const Placer &placer = m_context.placerFor(*config);
        double runs = 0;
        for (const auto &[id, endpoint] : m_context.endpoints.all()) {
            if (endpoint.listing.service == service && endpoint.listing.software != target)
                runs += placer.runningRequests(id);
        }
        return runs;
    }

private:
    ServingContext &m_context;
};

} // namespace

std::unique_ptr<RolloutView> makeRolloutTrafficView(ServingContext &context)
{
    return std::make_unique<RolloutTrafficView>(context);
}

} // namespace monsoonsail
