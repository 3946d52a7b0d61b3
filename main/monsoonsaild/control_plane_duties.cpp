#include "main/monsoonsaild/control_plane.h"

// The part of the control plane that orders engines and replaces software versions.

namespace monsoonsail {

void ControlPlane::manageFleet()
{
    if (!m_context.configuration)
        return;
    for (const Service &service : m_context.configuration->services()) {
        if (!service.engine)
            continue;
        double running = 0;
        for (const auto &[id, endpoint] : m_context.endpoints.all()) {
            if (endpoint.listing.service == service.name)
                running += m_context.enginePlacer->runningRequests(id);
        }
        m_context.workMeter.recordRunningRequests(service.name, running,
                                                  service.engine->batchSlots);
    }
    m_context.workMeter.measure(m_loop.now());
    m_fleetManager.advance(m_dutyElection.fencingNumber(), *m_context.configuration,
                           m_context.workMeter.enginesNeeded());
}

RolloutController::Ports ControlPlane::makeRolloutPorts()
{
    return {.view = *m_rolloutView,
            .orders = m_rolloutOrders,
            .endpoints = m_context.endpoints,
            .codec = m_siteCodec,
            .store = m_storeClient,
            .now = [this] { return m_loop.now(); },
            .metrics = m_metrics,
            .decisions = m_decisionLog};
}

bool ControlPlane::needsOrders() const
{
    return m_settings.limits.rollout && m_dutyElection.announcedFencingNumber() != 0;
}

void ControlPlane::advanceRollouts()
{
    const bool hasRollouts = m_settings.limits.rollout.has_value();
    m_fleetManager.setVersions(hasRollouts ? &m_rolloutVersions : nullptr);
    if (!hasRollouts)
        return;
    if (m_isStopping) {
        m_rolloutController.advance(0);
        return;
    }
    m_rolloutController.advance(m_rolloutDecider.number(m_mesh, m_dutyElection.fencingNumber(),
                                                        m_dutyElection.announcedFencingNumber(),
                                                        m_loop.now()));
}

} // namespace monsoonsail
