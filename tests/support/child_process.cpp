#include "tests/support/child_process.h"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace monsoonsail {

namespace {

constexpr int cannotExecute = 127;

/// Replaces the new process by the program. It shares the memory of the test until then, so it
/// changes nothing but its own stack.
[[noreturn]] void execute(const ChildProgram &program, char *const *arguments)
{
    // Leaves no process behind if the test is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (program.maxDescriptors > 0) {
        const rlimit limit{.rlim_cur = program.maxDescriptors, .rlim_max = program.maxDescriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    if (program.output >= 0) {
        ::dup2(program.output, STDOUT_FILENO);
        ::dup2(program.output, STDERR_FILENO);
    }
    ::execv(program.path.c_str(), arguments);
    ::_exit(cannotExecute);
}

} // namespace

pid_t startChildProcess(const ChildProgram &program)
{
    std::vector<char *> arguments{const_cast<char *>(program.path.c_str())};
    for (const std::string &argument : program.arguments)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    // fork() would lock the memory of the test while it copies its page tables. On a busy machine
    // the callers and stand-ins of the test, which are threads of it, are held up for tenths of a
    // second then, as they can't start threads or write to pages until it is done.
    const pid_t processId = ::vfork();
    if (processId == 0)
        execute(program, arguments.data());
    if (processId < 0)
        throw std::system_error(errno, std::system_category(), "cannot start " + program.path);
    return processId;
}

} // namespace monsoonsail
