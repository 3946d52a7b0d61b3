#pragma once

namespace monsoonsail {

/// What a descriptor is ready for.
struct DescriptorState
{
    bool readable = false;
    bool writable = false;
    bool hangup = false; ///< The other end has closed, or the descriptor has an error.
};

/// Receives the readiness of one watched descriptor.
class DescriptorHandler
{
public:
    virtual ~DescriptorHandler() = default;

    /// Called on the loop's thread. The handler may remove its descriptor and end its own life.
    virtual void onReady(DescriptorState state) = 0;
};

} // namespace monsoonsail
