#pragma once

#include "servers/mesh/digest.h"

#include <memory>
#include <string>

namespace monsoonsail {

/// A message between two simulated instances: a digest, an encoded bulletin, or a call for the text
/// of the configuration and its answer.
struct MeshDatagram
{
    std::string from;
    std::string to;
    std::shared_ptr<const Digest> digest;
    std::shared_ptr<const std::string> bulletin;
    bool asksForConfiguration = false;
    std::shared_ptr<const std::string> configuration; ///< Empty if the sender has none.
};

} // namespace monsoonsail
