#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace monsoonsail {

/// Predicts how many tokens a stream will have, from the streams of its route and account that have
/// ended and from its caller's hint. Addresses hints that are right at the median but often far
/// off, so that the time until batch slots become free can be told.
class OutputPredictor
{
public:
    /// Streams of the same class are expected to be similar.
    using Class = std::uint64_t;

    struct Prediction
    {
        double tokens = 0;
        double logDeviation = 0; ///< Standard deviation of the logarithm of the tokens.
    };

    static Class classOf(std::string_view route, std::string_view account);

    /// `hint` is the caller's estimate, 0 without one; `maximum` the largest output, 0 if not
    /// known.
    Prediction predict(Class requestClass, std::uint32_t hint, std::uint32_t maximum) const;
    /// Records the output of a stream that has ended.
    void record(Class requestClass, std::uint32_t hint, double tokens);

private:
    /// Moving averages of a logarithm and of its squared distance from the average.
    struct Average
    {
        double mean = 0;
        double variance = 0;
        double count = 0;

        void add(double value);
    };
    struct History
    {
        Average tokens;
        Average perHint; ///< Of tokens divided by the hint.
    };

    std::unordered_map<Class, History> m_classes;
};

} // namespace monsoonsail
