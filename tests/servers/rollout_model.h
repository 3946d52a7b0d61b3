#pragma once

#include "core/instant.h"
#include "servers/rollout/rollout_state.h"
#include "servers/rollout/version_evidence.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// How a software version answers.
struct VersionBehaviour
{
    double failures = 0.005;           ///< Share of failures.
    double slowness = 1;               ///< Factor of the times of slow answers.
    double slowShare = 1;              ///< Share of the answers that are slow.
    Duration turnsAt{};                ///< Before, it answers like a good version.
    std::set<std::uint64_t> badRoutes; ///< Routes that this holds for; empty means all.
};

/// Draws the answers of an old version and of the target of a roll-out.
class RolloutModel
{
public:
    static constexpr const char *oldVersion = "v1";
    static constexpr const char *targetVersion = "v2";

    explicit RolloutModel(unsigned seed)
        : m_random(seed)
    { }

    VersionBehaviour old;
    VersionBehaviour target;
    /// Requests a second on each route.
    std::map<std::uint64_t, double> rates{{1, 60}, {2, 30}, {3, 10}};

    /// Lets the versions answer the requests of a time; `share` of them go to the target. `at` is
    /// the time since the order.
    void answer(Duration at, Duration length, double share)
    {
        for (const auto &[route, rate] : rates) {
            std::poisson_distribution<unsigned> count(rate * toSeconds(length));
            for (unsigned request = count(m_random); request > 0; --request)
                answerOne(at, route, chance(share));
        }
    }

    /// Counts from now on for another target.
    void beginOrder(const std::string &target)
    {
        m_target = target;
        m_totals.clear();
        requests = 0;
        targetRequests = 0;
        badAnswers = 0;
    }

    std::vector<VersionEvidence> totals() const
    {
        std::vector<VersionEvidence> totals;
        for (const auto &[key, evidence] : m_totals)
            totals.push_back(evidence);
        return totals;
    }

    unsigned requests = 0;
    unsigned targetRequests = 0;
    unsigned badAnswers = 0; ///< Of the target, since it has turned bad.

private:
    void answerOne(Duration at, std::uint64_t route, bool isTarget)
    {
        ++requests;
        targetRequests += isTarget ? 1 : 0;
        const VersionBehaviour &own = isTarget ? target : old;
        const bool hasTurned =
                at >= own.turnsAt && (own.badRoutes.empty() || own.badRoutes.contains(route));
        const VersionBehaviour behaviour = hasTurned ? own : VersionBehaviour();
        VersionEvidence &evidence = m_totals[{isTarget, route}];
        evidence.software = SoftwareVersion(isTarget ? m_target : oldVersion);
        evidence.routeHash = route;
        ++evidence.answers;
        const bool isFailure = chance(behaviour.failures);
        const bool isSlow = behaviour.slowness > 1 && chance(behaviour.slowShare);
        badAnswers += isTarget && (isFailure || isSlow) ? 1 : 0;
        if (isFailure) {
            ++evidence.failures;
            return;
        }
        std::lognormal_distribution<double> time(0, 0.5);
        const double ratio = time(m_random) * (isSlow ? behaviour.slowness : 1);
        const double bucket = std::floor(2 * (std::log2(ratio) + 3));
        const double last = VersionEvidence::bucketCount - 1;
        ++evidence.times.at(static_cast<std::size_t>(std::clamp(bucket, 0.0, last)));
    }
    bool chance(double share) { return std::uniform_real_distribution<double>()(m_random) < share; }

    std::mt19937 m_random;
    std::string m_target = targetVersion;
    std::map<std::pair<bool, std::uint64_t>, VersionEvidence> m_totals;
};

} // namespace monsoonsail
