#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/serving/serving_context.h"

#include <chrono>
#include <string_view>

namespace monsoonsail {

/// Silence that shows the end of an endpoint whose time is over. A sound endpoint may be silent for
/// two seconds.
inline constexpr Duration minSilenceAfterEnd = std::chrono::milliseconds(2500);

/// What shows that an endpoint has ended or was cut off. An endpoint that is only silent for two
/// seconds, leaves and serves on, or whose entry has lapsed in an outage of the store shows
/// nothing.
enum class EndEvidence {
    None,
    Expired,      ///< It has been gone for so long that it is no longer known.
    Replaced,     ///< A later incarnation of its instance is listed.
    Unresponsive, ///< It is no longer listed, or its time is over, and it has been silent for long.
};

/// Returns the name of the evidence in the log.
std::string_view endEvidenceName(EndEvidence evidence);

/// Whether the endpoint should have ended by what its entry or the lack of one says. It may serve
/// on for many seconds.
bool isTimeOver(const EndpointId &endpoint, const ServingContext &context, Instant now);

/// Returns what shows that the endpoint has ended or was cut off.
EndEvidence evidenceOfEnd(const EndpointId &endpoint, const ServingContext &context, Instant now);

} // namespace monsoonsail
