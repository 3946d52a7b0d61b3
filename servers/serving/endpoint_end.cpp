#include "servers/serving/endpoint_end.h"

#include "servers/serving/evacuation.h"

namespace monsoonsail {

std::string_view endEvidenceName(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::None:
        return "none";
    case EndEvidence::Expired:
        return "expired";
    case EndEvidence::Replaced:
        return "replaced";
    case EndEvidence::Unresponsive:
        return "unresponsive";
    }
    return "unknown";
}

bool isTimeOver(const EndpointId &id, const ServingContext &context, Instant now)
{
    const Endpoint *endpoint = context.endpoints.find(id);
    if (endpoint == nullptr)
        return true;
    if (endpoint->state == EndpointState::Leaving)
        return expectedEnd(*endpoint, context.limits.drainTime) <= now;
    return !endpoint->isUsable(now);
}

// Neither sign is enough alone. An endpoint that has lost its entry may have left without notice
// and serve on, and one that is silent may go on. One that lacks its entry because of its silence
// has missed three heartbeats, which takes longer than a sound endpoint is silent.
EndEvidence evidenceOfEnd(const EndpointId &id, const ServingContext &context, Instant now)
{
    if (context.endpoints.find(id) == nullptr)
        return EndEvidence::Expired;
    if (context.endpoints.isReplaced(id))
        return EndEvidence::Replaced;
    if (!isTimeOver(id, context, now))
        return EndEvidence::None;
    if (context.endpointHealth.unansweredTime(id) >= minSilenceAfterEnd)
        return EndEvidence::Unresponsive;
    return EndEvidence::None;
}

} // namespace monsoonsail
