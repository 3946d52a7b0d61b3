#pragma once

#include <chrono>
#include <string_view>

namespace monsoonsail {

/// What becomes of one call to the platform.
struct CallFate
{
    std::chrono::milliseconds delay{};       ///< From its arrival until it is carried out.
    std::chrono::milliseconds answerDelay{}; ///< From then until it is answered.
    /// Whether it is answered. Otherwise its connection is closed before `delay`.
    bool isAnswered = true;
};

/// Chooses what becomes of the calls to a FakePlatform. Called by several threads.
class CallFates
{
public:
    virtual ~CallFates() = default;
    /// `target` is the path of the call with its query.
    virtual CallFate next(std::string_view target) = 0;
};

} // namespace monsoonsail
