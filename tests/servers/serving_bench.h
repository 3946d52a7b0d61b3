#pragma once

#include "servers/serving/serving_core.h"
#include "tests/servers/recording_traffic.h"
#include "tests/servers/silent_log.h"
#include "tests/servers/silent_metrics.h"

#include <memory>
#include <string>
#include <vector>

namespace monsoonsail {

/// A serving core with a small site: engines "e0" to "e3" of "model" and services "s0" to "s3" of
/// "desk", and one account with the key "key".
class ServingBench
{
public:
    ServingBench();

    /// Lets a request arrive and returns its number. Paths: /review/ is a resumable stream, /plan/
    /// a stream that is not, /book/ unsafe, /look/ safe.
    RequestNumber arrive(const std::string &path, const std::string &key = "key");
    /// Ends the newest attempt of the request.
    void end(RequestNumber request, AttemptResult result, int status = 200);
    void progress(RequestNumber request, std::uint32_t events, EventId lastEvent);
    /// Returns the newest attempt of the request.
    const AttemptStart &newest(RequestNumber request) const;
    /// Lets time pass, with the core's timers.
    void advance(Duration duration);
    void list(const std::string &instance, const std::string &service, bool isLeaving = false,
              std::optional<Duration> leavesIn = std::nullopt);
    void publish(std::vector<Account> accounts, Revision revision);
    /// Returns the error of the last refusal, or None.
    ErrorKind lastRefusal() const;

    static Account account(double perSecond, double burst);

    Instant now = instantFromMicroseconds(1'000'000'000);
    RecordingTraffic traffic;
    SilentLog log;
    SilentMetrics metrics;
    ServingContext context;
    ServingCore core;

private:
    RequestNumber m_lastRequest = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace monsoonsail
