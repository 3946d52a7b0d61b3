#pragma once

#include "servers/ports/traffic_port.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Keeps what the core asks of the connections.
class RecordingTraffic : public TrafficPort
{
public:
    void start(const AttemptStart &attempt) override { starts.push_back(attempt); }
    void cancel(RequestNumber request, AttemptNumber attempt) override
    {
        cancelled.emplace_back(request, attempt);
    }
    void move(const RunMove &move) override { moves.push_back(move); }
    void refuse(const Refusal &refusal) override { refusals.push_back(refusal); }
    void deliver(RequestNumber request, AttemptNumber attempt) override
    {
        delivered.emplace_back(request, attempt);
    }
    void breakOff(RequestNumber request) override { brokenOff.push_back(request); }
    void finish(RequestNumber request) override { finished.push_back(request); }
    void forget(const EndpointId &endpoint) override { forgotten.push_back(endpoint); }
    void apply(const ConnectionLimits &limits) override { appliedLimits.push_back(limits); }
    void beginStop() override { stopping = true; }

    std::vector<AttemptStart> starts;
    std::vector<std::pair<RequestNumber, AttemptNumber>> cancelled;
    std::vector<RunMove> moves;
    std::vector<Refusal> refusals;
    std::vector<std::pair<RequestNumber, AttemptNumber>> delivered;
    std::vector<RequestNumber> brokenOff;
    std::vector<RequestNumber> finished;
    std::vector<EndpointId> forgotten;
    std::vector<ConnectionLimits> appliedLimits;
    bool stopping = false;
};

} // namespace monsoonsail
