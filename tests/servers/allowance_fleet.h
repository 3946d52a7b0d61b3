#pragma once

#include "core/random_source.h"
#include "servers/allowance/allowance_ledger.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace monsoonsail {

/// Requests of one urgency that an account sends at random times to random instances.
struct AllowanceStream
{
    unsigned urgency = 0;
    double tokens = 0; ///< Mean size of a request. Sizes differ by a factor of four.
    double tokensPerSecond = 0;
};

/// What became of a request of the account.
struct AllowanceOutcome
{
    Instant at;
    unsigned urgency = 0;
    double tokens = 0;
    std::optional<Instant> retryAt; ///< Empty if it was admitted.
};

/// Simulates instances that admit requests of one account and exchange digests, each at its own
/// times.
class AllowanceFleet
{
public:
    AllowanceFleet(std::size_t instances, const AllowanceRules &rules, double rate, double burst,
                   std::uint64_t seed = 1);

    void run(Duration duration, std::span<const AllowanceStream> streams);
    /// Ends an instance without notice.
    void kill(std::size_t instance);
    /// Delays digests by this time, and loses this fraction of them.
    void setLink(Duration delay, double lostFraction);

    Instant now() const { return m_now; }
    const std::vector<AllowanceOutcome> &outcomes() const { return m_outcomes; }
    /// Largest amount that was admitted within a window.
    double maxUsed() const;
    double admittedTokens(Instant from, Instant to) const;
    /// Fraction of the requests of this urgency that were admitted.
    double admittedFraction(unsigned urgency, Instant from, Instant to) const;
    std::size_t refusals(Instant from) const;

private:
    struct Instance
    {
        std::unique_ptr<AllowanceLedger> ledger;
        std::unique_ptr<Mesh> mesh;
        std::uint64_t sequence = 0;
        bool isKilled = false;
        Instant nextDigest;
    };
    struct Transit
    {
        Instant arrivesAt;
        std::size_t receiver = 0;
        std::shared_ptr<const Digest> digest;
    };

    void sendDigest(std::size_t sender);
    void deliverDigests();
    void sendRequest(const AllowanceStream &stream);

    AllowanceRules m_rules;
    RandomSource m_random;
    Instant m_now = instantFromMicroseconds(1'000'000'000);
    std::vector<Instance> m_instances;
    std::deque<Transit> m_transit;
    Duration m_delay{};
    double m_lostFraction = 0;
    std::vector<AllowanceOutcome> m_outcomes;
};

} // namespace monsoonsail
