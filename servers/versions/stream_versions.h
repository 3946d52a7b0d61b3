#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <functional>
#include <optional>
#include <string_view>

namespace monsoonsail {

/// How the software version that began a stream is known, or why it is not.
enum class OriginGround {
    Own,              ///< This instance has served the stream.
    OnlyVersion,      ///< No stream of the service can have begun at another version.
    BeginRecord,      ///< The instance that served the first event has recorded it.
    NoRecord,         ///< Unknown: several versions, and no record.
    StoreUnreachable, ///< Unknown: the records could not be read in time.
};

/// Returns the name of the ground in logs and metrics.
std::string_view originGroundName(OriginGround ground);

/// Where a stream began.
struct StreamOrigin
{
    std::optional<SoftwareVersion> software; ///< Empty if it is not known.
    OriginGround ground = OriginGround::NoRecord;
};

/// Knows at which software versions of a service streams begin, and began.
class StreamVersions
{
public:
    /// Receives the origin and the current instant.
    using OriginDone = std::function<void(const StreamOrigin &, Instant)>;

    virtual ~StreamVersions() = default;

    /// Whether resumable streams may begin at the version.
    virtual bool mayBegin(const ServiceId &service, const SoftwareVersion &software) const = 0;
    /// Records that the caller has an event of a stream. `request` is the caller's id of the
    /// request that brought the first one.
    virtual void recordBegin(const ServiceId &service, std::string_view request,
                             const SoftwareVersion &software) = 0;
    /// Finds where the stream began whose first event `request` brought. `done` is called once,
    /// possibly before this returns, then with `now`.
    virtual void findOrigin(const ServiceId &service, std::string_view request, Instant now,
                            OriginDone done) = 0;
};

} // namespace monsoonsail
