#pragma once

#include "core/identifiers.h"
#include "core/instant.h"
#include "core/log_position.h"
#include "servers/mesh/mesh.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

namespace monsoonsail {

/// The live readers of the list of endpoints whose names come before that of an instance. The first
/// two readers tell all others of changes.
class PrecedingReaders
{
public:
    /// Time in which readers begin or resume to read one after the other, and in which what they
    /// have read may be reported beyond the interval of their digests.
    static constexpr Duration startTime = std::chrono::milliseconds(600);

    static PrecedingReaders of(std::string_view instance, const ZoneId &zone, const Mesh &mesh,
                               Instant now);

    /// Whether they are enough to tell all others of changes.
    bool areEnough() const { return m_count >= m_knownEnds.size(); }
    /// Whether enough of those in the same availability zone have just become readers, so that they
    /// are reading the list.
    bool areEnoughNewInZone() const { return m_newInZone >= m_knownEnds.size(); }
    /// Returns the end of the part of the list's log that enough of them have read.
    LogOffset knownEnd() const { return m_knownEnds.back(); }
    /// Returns the longest interval of their digests.
    Duration reportInterval() const { return m_reportInterval; }

private:
    std::size_t m_count = 0;
    std::size_t m_newInZone = 0;
    std::array<LogOffset, 2> m_knownEnds{}; ///< The farthest ones, in descending order.
    Duration m_reportInterval{};
};

} // namespace monsoonsail
