#pragma once

#include "core/instant.h"

#include <cstdint>

namespace monsoonsail {

/// Prompt tokens that were unread at certain instants. Amounts of several requests or instances can
/// be added and removed exactly.
class UnreadTokens
{
public:
    void add(std::uint64_t tokens, Instant at);
    void remove(std::uint64_t tokens, Instant at);
    std::uint64_t total() const { return m_tokens; }
    /// Returns how many are unread if the engine has read them since, at the given speed.
    double remaining(double msPerToken, Instant now) const;

    bool operator==(const UnreadTokens &) const = default;

private:
    std::uint64_t m_tokens = 0;
    std::uint64_t m_tokenMs = 0; ///< Sum of tokens times instant in ms, modulo 2^64.
};

/// Work that the other entry instances report to have placed on an engine.
struct ReportedWork
{
    UnreadTokens unread;
    std::uint64_t remainingMs = 0; ///< Of the runs of those that report it.
    std::uint64_t timedRuns = 0;   ///< Number of these runs.

    bool operator==(const ReportedWork &) const = default;
};

/// Returns the expected time until the last of `queued` requests gets a batch slot, if `running`
/// requests take up `remainingMs` altogether. Addresses engines whose slots are all taken.
double slotWaitMs(double queued, unsigned batchSlots, double running, double remainingMs);

} // namespace monsoonsail
