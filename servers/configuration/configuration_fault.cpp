#include "servers/configuration/configuration_fault.h"

namespace monsoonsail {

std::string describe(const ConfigurationFault &fault)
{
    return fault.file + ":" + std::to_string(fault.line) + ": " + fault.key + ": found "
            + fault.found + ", allowed " + fault.allowed;
}

} // namespace monsoonsail
