#include "tests/support/busy_processes.h"

#include "tests/support/child_process.h"

#include <sys/wait.h>

#include <csignal>

namespace monsoonsail {

BusyProcesses::BusyProcesses(unsigned count)
{
    for (unsigned number = 0; number < count; ++number) {
        m_processIds.push_back(
                startChildProcess({.path = "/bin/sh", .arguments = {"-c", "while :; do :; done"}}));
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
