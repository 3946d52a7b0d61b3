#pragma once

#include "servers/mesh/bulletin.h"

#include <span>
#include <string>

namespace monsoonsail {

/// Sends bulletins to other entry instances. They may get lost.
class BulletinPort
{
public:
    virtual ~BulletinPort() = default;

    /// `targets` are addresses "IP:port".
    virtual void send(const Bulletin &bulletin, std::span<const std::string> targets) = 0;
};

} // namespace monsoonsail
