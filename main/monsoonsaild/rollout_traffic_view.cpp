#include "main/monsoonsaild/rollout_traffic_view.h"

#include <map>
#include <tuple>
#include <utility>

namespace monsoonsail {

namespace {

class RolloutTrafficView : public RolloutView
{
public:
    explicit RolloutTrafficView(ServingContext &context)
        : m_context(context)
    { }

    std::vector<RolloutState> states() const override
    {
        std::vector<RolloutState> states;
        for (const auto &[service, state] : m_states)
            states.push_back(state);
        return states;
    }
    void apply(const RolloutState &state, Instant /*now*/) override
    {
        const auto [entry, isNew] = m_states.try_emplace(state.service, state);
        RolloutState &known = entry->second;
        if (std::tie(known.order, known.change) < std::tie(state.order, state.change))
            known = state;
    }
    void suspend(const ServiceId & /*service*/, std::string_view /*reason*/) override { }
    std::vector<VersionEvidence> evidence(const ServiceId & /*service*/) const override
    {
        return {};
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
    std::map<ServiceId, RolloutState> m_states;
};

} // namespace

std::unique_ptr<RolloutView> makeRolloutTrafficView(ServingContext &context)
{
    return std::make_unique<RolloutTrafficView>(context);
}

} // namespace monsoonsail
