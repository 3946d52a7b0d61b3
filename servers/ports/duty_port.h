#pragma once

#include "core/identifiers.h"
#include "servers/metering/usage_counts.h"

#include <cstdint>
#include <functional>

namespace monsoonsail {

/// Result of a call to the platform that only the holder of the duties may make.
enum class DutyOutcome {
    Done,
    Fenced,      ///< Refused, since a holder with a higher fencing number has acted.
    Unavailable, ///< The platform can't carry it out at present.
    Unknown,     ///< No answer, or refused for now; it may still be carried out.
};

/// How engines are paid for.
enum class Market {
    OnDemand,
    /// Cheaper; the cloud may reclaim all that run in an availability zone at short notice.
    Reclaimable,
};

/// How many engines of a service should run in an availability zone.
struct EngineOrder
{
    ServiceId service;
    ZoneId zone;
    Market market = Market::OnDemand;
    unsigned count = 0;
};

/// Calls to the platform that only one instance may make at a time. `done` is called later, on the
/// caller's thread.
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
