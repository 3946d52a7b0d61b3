#pragma once

#include "core/instant.h"

namespace monsoonsail {

/// Returns the current time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

} // namespace monsoonsail
