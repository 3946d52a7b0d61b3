#pragma once

namespace monsoonsail {

/// How the requests of a route may be run and answered.
enum class RequestKind {
    Safe,      ///< Idempotent; may run more than once.
    Unsafe,    ///< May run at most once.
    Streaming, ///< Answered by a stream of events; idempotent only if the route is resumable.
};

} // namespace monsoonsail
