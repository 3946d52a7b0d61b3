#pragma once

#include "core/identifiers.h"
#include "servers/metering/usage_counts.h"

#include <cstdint>
#include <functional>

namespace monsoonsail {

/// How the platform answered a call that only the holder of a duty may make.
enum class DutyOutcome {
    Done,
    Fenced,      ///< A holder with a higher fencing number has acted.
    Unavailable, ///< The platform can't do this at present.
    Unknown,     ///< No answer, or refused for now; it may be carried out later.
};

/// How engines are paid for.
enum class Market {
    OnDemand,
    Reclaimable, ///< Cheaper; all of an availability zone may be taken away at short notice.
};

/// How many engines of a service run in an availability zone.
struct EngineOrder
{
    ServiceId service;
    ZoneId zone;
    Market market = Market::OnDemand;
    unsigned count = 0;
};

/// Calls to the platform that are the duty of one instance at a time. Answers come later than the
/// call, on the caller's thread.
class DutyPort
{
public:
    using Done = std::function<void(DutyOutcome)>;

    virtual ~DutyPort() = default;

    virtual void reportUsage(std::uint64_t fencingNumber, WindowNumber window,
                             const UsageCounts &counts, Done done) = 0;
    virtual void orderEngines(std::uint64_t fencingNumber, const EngineOrder &order, Done done) = 0;
};

} // namespace monsoonsail
