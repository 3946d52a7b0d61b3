#pragma once

namespace monsoonsail {

/// What a route's requests allow.
enum class RequestKind {
    Safe,      ///< Idempotent; may run more than once.
    Unsafe,    ///< May run at most once.
    Streaming, ///< Answered by events; idempotent only if its route is resumable.
};

} // namespace monsoonsail
