#pragma once

#include "core/instant.h"

#include <string_view>

namespace monsoonsail {

/// Why a request gets no place on an engine.
enum class PlaceRefusalReason {
    TooLate,  ///< Its first event is expected after its deadline.
    Urgency,  ///< More urgent requests need the engines.
    Fairness, ///< Its account requests more than its share.
};

std::string_view placeRefusalName(PlaceRefusalReason reason);

struct PlaceRefusal
{
    PlaceRefusalReason reason = PlaceRefusalReason::TooLate;
    Instant retryAt;
    double lateness = 0;         ///< See ServicePressure.
    double admittedFraction = 0; ///< Of requests of its urgency and account.
};

} // namespace monsoonsail
