#pragma once

#include <cstdint>
#include <string>

namespace monsoonsail {

enum class RolloutJudgement : std::uint8_t {
    Undecided,
    Good,
    Bad,
};

/// What the evidence says about the target of a roll-out.
struct RolloutVerdict
{
    RolloutJudgement judgement = RolloutJudgement::Undecided;
    std::string reason;    ///< With the figures that decided.
    double weight = 0;     ///< Of what speaks against the target (RolloutJudge).
    bool hasSign = false;  ///< Something speaks against the target, though not enough for Bad.
    bool isSlow = false;   ///< Whether the sign is in the times.
    unsigned answers = 0;  ///< Of the target.
    unsigned failures = 0; ///< Of the target.
};

} // namespace monsoonsail
