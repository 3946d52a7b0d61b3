#pragma once

namespace monsoonsail {

/// Operations that a descriptor is ready for.
struct DescriptorState
{
    bool readable = false;
    bool writable = false;
    bool hangup = false; ///< The peer has closed the connection, or the descriptor has an error.
};

/// Handles the readiness events of a descriptor in an EventLoop.
class DescriptorHandler
{
public:
    virtual ~DescriptorHandler() = default;

    /// Called on the loop's thread. The handler may remove its descriptor and delete itself.
    virtual void onReady(DescriptorState state) = 0;
};

} // namespace monsoonsail
