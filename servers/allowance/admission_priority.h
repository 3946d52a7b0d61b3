#pragma once

namespace monsoonsail {

/// Which requests of an account are admitted first where little of its allowance is left.
enum class AdmissionPriority {
    New,
    Continued, ///< The caller has a part of the answer, which is lost without the rest.
};

} // namespace monsoonsail
