#pragma once

#include <cstdint>
#include <string>

namespace monsoonsail {

/// An error in a settings or configuration file.
struct ConfigurationFault
{
    std::string file;       ///< "base", the name of a site's overlay, or a path.
    std::uint32_t line = 0; ///< Counted from 1; 0 if it concerns the whole file.
    std::string key;        ///< Dotted path of the key.
    std::string found;
    std::string allowed;
};

/// Returns "file:line: key: found ..., allowed ...".
std::string describe(const ConfigurationFault &fault);

} // namespace monsoonsail
