#pragma once

#include "tests/support/call_fates.h"

#include <cstdint>
#include <mutex>
#include <random>
#include <string_view>

namespace monsoonsail {

/// Answers calls late, loses answers, and lets some calls be carried out seconds later.
class UnreliableCalls : public CallFates
{
public:
    explicit UnreliableCalls(std::uint64_t seed)
        : m_random(seed)
    { }

    CallFate next(std::string_view target) override;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_random;
};

} // namespace monsoonsail
