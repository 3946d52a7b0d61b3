#pragma once

#include "core/instant.h"

#include <map>
#include <optional>
#include <string>

namespace monsoonsail {

/// How long the answers of each route take.
class AnswerTimes
{
public:
    /// Records the time from the arrival of a request to the end of its answer.
    void record(const std::string &route, Duration time);
    /// Returns a time within which nearly all answers of the route end, or std::nullopt if none is
    /// known.
    std::optional<Duration> expected(const std::string &route) const;

private:
    struct Times
    {
        double meanMs = 0;
        double deviationMs = 0; ///< Moving average of the distance from the mean.
    };

    std::map<std::string, Times> m_times;
};

} // namespace monsoonsail
