#include "servers/admission/place_refusal.h"

namespace monsoonsail {

std::string_view placeRefusalName(PlaceRefusalReason reason)
{
    switch (reason) {
    case PlaceRefusalReason::TooLate:
        return "too-late";
    case PlaceRefusalReason::Urgency:
        return "urgency";
    case PlaceRefusalReason::Fairness:
        return "fairness";
    }
    return {};
}

} // namespace monsoonsail
