#pragma once

#include "servers/configuration/configuration_fault.h"

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <vector>

namespace monsoonsail {

/// Parses TOML text. `file` is the name that faults report. Adds a fault and returns an empty
/// table if the text is not TOML.
toml::table parseToml(std::string_view text, const std::string &file,
                      std::vector<ConfigurationFault> &faults);

/// Merges `overlay` into `base`. Tables are merged key by key; all other values, arrays included,
/// are replaced. Each value keeps its source position.
void mergeOverlay(toml::table &base, toml::table &&overlay);

} // namespace monsoonsail
