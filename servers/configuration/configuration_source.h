#pragma once

#include <map>
#include <string>

namespace monsoonsail {

/// The configuration that operators publish: a base and one overlay for each site, as TOML text.
struct ConfigurationSource
{
    std::string base;
    std::map<std::string, std::string> overlays; ///< By site.

    bool operator==(const ConfigurationSource &) const = default;
};

} // namespace monsoonsail
