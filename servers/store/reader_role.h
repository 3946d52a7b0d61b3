#pragma once

#include "core/instant.h"
#include "servers/mesh/mesh.h"

#include <string>

namespace monsoonsail {

/// Decides whether this instance follows the store's topics. A few instances do and tell the others
/// by digests, since every call to the store is paid for.
class ReaderRole
{
public:
    /// `instance` is the name of this instance.
    explicit ReaderRole(std::string instance)
        : m_instance(std::move(instance))
    { }

    /// Whether to follow now: fewer than two instances that come first by name do so well.
    bool isReader(const Mesh &mesh, Instant now) const;

private:
    const std::string m_instance;
};

} // namespace monsoonsail
