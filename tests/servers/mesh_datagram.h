#pragma once

#include "servers/mesh/digest.h"

#include <memory>
#include <string>

namespace monsoonsail {

/// A datagram between two simulated instances: a digest, or an encoded bulletin.
struct MeshDatagram
{
    std::string from;
    std::string to;
    std::shared_ptr<const Digest> digest; ///< Null if it is a bulletin.
    std::shared_ptr<const std::string> bulletin;
};

} // namespace monsoonsail
