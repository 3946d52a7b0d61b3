#pragma once

#include <sys/types.h>

#include <vector>

namespace monsoonsail {

/// Processes that use all the processor time they get. They end with this object, and with the
/// thread that has started them.
class BusyProcesses
{
public:
    explicit BusyProcesses(unsigned count);
    ~BusyProcesses();
    BusyProcesses(const BusyProcesses &) = delete;
    BusyProcesses &operator=(const BusyProcesses &) = delete;

private:
    std::vector<pid_t> m_processIds;
};

} // namespace monsoonsail
