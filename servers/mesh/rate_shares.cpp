#include "servers/mesh/rate_shares.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace monsoonsail {

namespace {

constexpr Duration turnLength = std::chrono::seconds(1);

/// Returns the rank of an instance in a turn. The hash mixes all bits, so the order of the
/// instances differs from turn to turn.
std::uint64_t rankOf(std::uint64_t instance, std::uint64_t seed, std::int64_t turn)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&turn), sizeof turn);
    return stableHash(bytes, instance ^ seed);
}

} // namespace

void RateShares::update(std::string_view instance, std::span<const std::string> peers,
                        Duration clockCorrection)
{
    m_ownHash = stableHash(instance);
    m_peerHashes.clear();
    for (const std::string &peer : peers)
        m_peerHashes.push_back(stableHash(peer));
    m_clockCorrection = clockCorrection;
}

std::int64_t RateShares::turnAt(Instant now) const
{
    return (now + m_clockCorrection).time_since_epoch() / turnLength;
}

Instant RateShares::beginOf(std::int64_t turn) const
{
    return Instant(turn * turnLength) - m_clockCorrection;
}

std::uint32_t RateShares::shareOf(double perSecond, std::uint64_t seed, std::int64_t turn) const
{
    const auto totalBefore = [perSecond](std::int64_t number) {
        return static_cast<std::uint64_t>(std::floor(static_cast<double>(number) * perSecond));
    };
    const std::uint64_t total = totalBefore(turn + 1) - totalBefore(turn);
    const std::uint64_t instances = m_peerHashes.size() + 1;
    const std::uint64_t own = rankOf(m_ownHash, seed, turn);
    const auto above = static_cast<std::uint64_t>(std::ranges::count_if(
            m_peerHashes, [&](std::uint64_t peer) { return rankOf(peer, seed, turn) > own; }));
    return static_cast<std::uint32_t>(total / instances + (above < total % instances ? 1 : 0));
}

} // namespace monsoonsail
