#pragma once

namespace monsoonsail {

/// What a simulated store does with calls.
enum class StoreState {
    Running,
    Refusing, ///< Calls fail at once.
    Silent,   ///< Calls get no answer.
};

} // namespace monsoonsail
