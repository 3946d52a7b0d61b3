#include "servers/costs/output_predictor.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace monsoonsail {

namespace {

/// Expected output of a stream about which nothing is known.
constexpr double defaultTokens = 128;
/// Variances of the logarithm that are assumed until they have been measured.
constexpr double initialVariance = 1;
constexpr double initialHintVariance = 0.5;
/// The sources are not independent, so none is taken for exact.
constexpr double minVariance = 0.02;
constexpr double maxCount = 50; ///< Streams over which the averages extend.
/// Streams after which the history of a class counts.
constexpr double minCount = 3;
constexpr std::size_t maxClasses = 4096;

} // namespace

OutputPredictor::Class OutputPredictor::classOf(std::string_view route, std::string_view account)
{
    return stableHash(account, stableHash(route));
}

OutputPredictor::Prediction OutputPredictor::predict(Class requestClass, std::uint32_t hint,
                                                     std::uint32_t maximum) const
{
    const auto entry = m_classes.find(requestClass);
    const History *history = entry == m_classes.end() ? nullptr : &entry->second;
    double precision = 0;
    double sum = 0;
    const auto add = [&](double mean, double variance) {
        const double weight = 1 / std::max(variance, minVariance);
        precision += weight;
        sum += weight * mean;
    };
    if (history != nullptr && history->tokens.count >= minCount)
        add(history->tokens.mean, history->tokens.variance);
    if (hint > 0) {
        const bool isKnown = history != nullptr && history->perHint.count >= minCount;
        add(std::log(hint) + (isKnown ? history->perHint.mean : 0),
            isKnown ? history->perHint.variance : initialHintVariance);
    }
    if (precision == 0)
        add(std::log(defaultTokens), initialVariance);
    const double tokens = std::exp(sum / precision);
    return {.tokens = maximum > 0 ? std::min<double>(tokens, maximum) : tokens,
            .logDeviation = std::sqrt(1 / precision)};
}

void OutputPredictor::record(Class requestClass, std::uint32_t hint, double tokens)
{
    if (tokens < 1)
        return;
    // Callers choose routes and accounts only among configured ones, so the bound is reached by
    // changes of the configuration only.
    if (m_classes.size() >= maxClasses && !m_classes.contains(requestClass))
        m_classes.clear();
    History &history = m_classes[requestClass];
    history.tokens.add(std::log(tokens));
    if (hint > 0)
        history.perHint.add(std::log(tokens / hint));
}

void OutputPredictor::Average::add(double value)
{
    if (count == 0)
        variance = initialVariance;
    count = std::min(count + 1, maxCount);
    const double distance = value - mean;
    mean += distance / count;
    if (count > 1)
        variance += (distance * (value - mean) - variance) / count;
}

} // namespace monsoonsail
