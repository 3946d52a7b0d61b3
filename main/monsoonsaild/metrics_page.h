#pragma once

#include "drivers/mesh/mesh_socket.h"
#include "drivers/metrics/prometheus_metrics.h"
#include "servers/endpoints/endpoint_exchange.h"
#include "servers/mesh/mesh.h"
#include "servers/serving/serving_context.h"
#include "servers/serving/serving_core.h"

#include <string>

namespace monsoonsail {

/// Returns the metrics of the process in text format, after setting the gauges to present values.
std::string metricsPage(PrometheusMetrics &metrics, const ServingContext &context,
                        const ServingCore &core, const Mesh &mesh, const MeshSocket &socket,
                        const EndpointExchange &exchange, Instant now);

} // namespace monsoonsail
