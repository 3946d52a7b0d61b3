#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace monsoonsail {

/// A program to start as a process of its own.
struct ChildProgram
{
    std::string path;
    std::vector<std::string> arguments;
    int output = -1; ///< Descriptor for its output and errors; -1 for those of the test.
    unsigned maxDescriptors = 0; ///< Limit of the process; 0 for that of the test.
};

/// Starts the program. The process ends at the latest with the calling thread. Throws
/// std::system_error if no process can be created.
pid_t startChildProcess(const ChildProgram &program);

} // namespace monsoonsail
