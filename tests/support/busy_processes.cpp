#include "tests/support/busy_processes.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>

namespace monsoonsail {

BusyProcesses::BusyProcesses(unsigned count)
{
    for (unsigned number = 0; number < count; ++number) {
        const pid_t processId = ::fork();
        if (processId == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            for (std::atomic<unsigned> turns = 0;; ++turns) { }
        }
        if (processId > 0)
            m_processIds.push_back(processId);
    }
}

BusyProcesses::~BusyProcesses()
{
    for (const pid_t processId : m_processIds)
        ::kill(processId, SIGKILL);
    for (const pid_t processId : m_processIds)
        ::waitpid(processId, nullptr, 0);
}

} // namespace monsoonsail
