#include "tests/processes/unreliable_calls.h"

#include <chrono>

namespace monsoonsail {

namespace {

using std::chrono::milliseconds;

constexpr int lostPercent = 12;       ///< Carried out at once, never answered.
constexpr int carriedLatePercent = 5; ///< Carried out later, never answered.
constexpr int minAnswerMs = 20;
constexpr int maxAnswerMs = 300;
constexpr int minLateMs = 200;
constexpr int maxLateMs = 3000;

} // namespace

CallFate UnreliableCalls::next(std::string_view target)
{
    if (target.starts_with("/log-read") || target.starts_with("/log-newest"))
        return {};
    const std::lock_guard lock(m_mutex);
    const auto draw = [this](int min, int max) {
        return std::uniform_int_distribution<int>(min, max)(m_random);
    };
    const int kind = draw(0, 99);
    if (kind < lostPercent)
        return {.isAnswered = false};
    if (kind < lostPercent + carriedLatePercent)
        return {.delay = milliseconds(draw(minLateMs, maxLateMs)), .isAnswered = false};
    // The slow part is before or after the call is carried out.
    const milliseconds time(draw(minAnswerMs, maxAnswerMs));
    return kind % 2 == 0 ? CallFate{.delay = time} : CallFate{.answerDelay = time};
}

} // namespace monsoonsail
