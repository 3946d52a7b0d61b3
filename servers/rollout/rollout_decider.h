#pragma once

#include "core/instant.h"
#include "servers/mesh/mesh.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace monsoonsail {

/// Knows whether this instance decides about roll-outs: the holder of the duties does, and while
/// there is none, the first live instance by name stands in. A roll-out can't wait for a lease, and
/// two that decide at the same time do no harm, since states are appended on condition. Load: one
/// evaluation of the peers a tick.
class RolloutDecider
{
public:
    /// In place of a fencing number.
    static constexpr std::uint64_t standInNumber = UINT64_MAX;

    explicit RolloutDecider(std::string instance)
        : m_instance(std::move(instance))
    { }

    /// Returns a number that changes when another instance may have decided in between, or 0 if
    /// this instance does not decide. `fencingNumber` is that under which this instance may act,
    /// `announced` the one that it announces.
    std::uint64_t number(const Mesh &mesh, std::uint64_t fencingNumber, std::uint64_t announced,
                         Instant now);

private:
    std::string m_instance;
    std::optional<Instant> m_firstAskedAt;
};

} // namespace monsoonsail
