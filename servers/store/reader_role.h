#pragma once

#include "core/instant.h"
#include "servers/mesh/mesh.h"

#include <optional>
#include <string>
#include <utility>

namespace monsoonsail {

/// Decides whether this instance follows the store's topics. A few instances do and tell the others
/// by digests, since every call to the store is paid for.
class ReaderRole
{
public:
    /// `instance` is the name of this instance. Endpoints serve on for `drainTime` after they have
    /// told the store that they leave.
    ReaderRole(std::string instance, Duration drainTime)
        : m_instance(std::move(instance))
        , m_drainTime(drainTime)
    { }

    void setDrainTime(Duration drainTime) { m_drainTime = drainTime; }
    /// Decides anew. Fewer than two instances that come first by name follow the store well: then
    /// the instances that come next do, one after the other. Called often.
    void advance(const Mesh &mesh, Instant now);
    bool isReader() const { return m_isReader; }

private:
    const std::string m_instance;
    Duration m_drainTime;
    bool m_isReader = true;                      ///< A process that starts knows nobody who reads.
    std::optional<Instant> m_tooFewReadersSince; ///< Since when there have been too few readers.
};

} // namespace monsoonsail
