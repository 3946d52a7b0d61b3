#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "servers/mesh/mesh.h"

#include <optional>
#include <string>
#include <utility>

namespace monsoonsail {

/// Decides whether this instance follows the store's topics. Only a few instances do, since every
/// call to the store costs money. They inform the others by digests.
class ReaderRole
{
public:
    /// Times within which the instances must know what the store has.
    struct Bounds
    {
        /// Endpoints keep serving for this long after they have announced that they leave.
        Duration drainTime{};
        /// A published configuration must be in force after this time.
        Duration configurationTime{};
    };

    /// `instance` is the name of this instance, `zone` its availability zone.
    ReaderRole(std::string instance, ZoneId zone, const Bounds &bounds)
        : m_instance(std::move(instance))
        , m_zone(std::move(zone))
        , m_bounds(bounds)
    { }

    void setBounds(const Bounds &bounds) { m_bounds = bounds; }
    /// Decides again. This instance becomes a reader if fewer than two instances with smaller names
    /// are readers with recent data, after a delay that grows with its rank by name. The first
    /// instance of each availability zone does so sooner. Call periodically.
    void advance(const Mesh &mesh, Instant now);
    bool isReader() const { return m_isReader; }

private:
    /// Returns the age from which on the data of a reader does not count as recent.
    Duration maxAge(bool isFirstOfZone) const;

    const std::string m_instance;
    const ZoneId m_zone;
    Bounds m_bounds;
    bool m_isReader = true; ///< A process that starts does not know any reader yet.
    std::optional<Instant> m_tooFewReadersSince; ///< Since when there have been too few readers.
};

} // namespace monsoonsail
