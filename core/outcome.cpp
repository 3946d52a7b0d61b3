#include "core/outcome.h"

namespace monsoonsail {

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace monsoonsail
