#include "main/monsoonsaild/metrics_page.h"

#include <algorithm>

namespace monsoonsail {

std::string metricsPage(PrometheusMetrics &metrics, const ServingContext &context,
                        const ServingCore &core, const Mesh &mesh, const MeshSocket &socket,
                        const EndpointExchange &exchange, Instant now)
{
    const auto usable = std::ranges::count_if(context.endpoints.all(), [now](const auto &entry) {
        return entry.second.isUsable(now);
    });
    const Revision revision = context.configuration ? context.configuration->revision() : 0;
    metrics.setGauge("monsoonsail_requests", "Requests in progress",
                     static_cast<double>(core.requestCount()));
    metrics.setGauge("monsoonsail_usable_endpoints", "Endpoints that may be given work",
                     static_cast<double>(usable));
    metrics.setGauge("monsoonsail_peers", "Entry instances that were heard of lately",
                     mesh.possibleInstanceCount());
    metrics.setGauge("monsoonsail_configuration_revision", "Revision in force, 0 before the first",
                     static_cast<double>(revision));
    metrics.setGauge("monsoonsail_configuration_age_seconds",
                     "Time since the configuration was known to be the newest",
                     toSeconds(now - context.configurationAsOf));
    metrics.setGauge("monsoonsail_configuration_behind_seconds",
                     "Time for which a peer has had a later configuration, 0 if none has",
                     toSeconds(context.configurationBehindFor(now)));
    metrics.setGauge("monsoonsail_endpoints_age_seconds",
                     "Time since all changes of endpoints were known",
                     toSeconds(now - context.endpointsAsOf));
    metrics.setGauge("monsoonsail_limited_endpoints",
                     "Endpoints that limit the requests of all instances together",
                     static_cast<double>(context.endpointLimits.limitedCount()));
    metrics.setGauge("monsoonsail_suspect_prompt_parts",
                     "Prompt parts that were in use when endpoints ended",
                     static_cast<double>(context.promptQuarantine.suspectCount()));
    metrics.setGauge("monsoonsail_quarantined_prompt_parts",
                     "Prompt parts that are not sent on, since endpoints crash under them",
                     static_cast<double>(context.promptQuarantine.quarantinedCount()));
    metrics.setGauge("monsoonsail_mesh_sent_bytes", "Bytes of digests and bulletins sent",
                     static_cast<double>(socket.sentBytes()));
    metrics.setGauge("monsoonsail_mesh_received_bytes", "Bytes of digests and bulletins received",
                     static_cast<double>(socket.receivedBytes()));
    metrics.setGauge("monsoonsail_mesh_unreadable", "Datagrams that could not be read",
                     static_cast<double>(socket.unreadableDatagrams()));
    metrics.setGauge("monsoonsail_mesh_dropped",
                     "Datagrams that the kernel dropped since its buffer was full",
                     static_cast<double>(socket.droppedDatagrams()));
    metrics.setGauge("monsoonsail_endpoint_list_differences",
                     "Times that the known endpoints differed from those of a reader for long",
                     static_cast<double>(exchange.missedChanges()));
    return metrics.text();
}

} // namespace monsoonsail
