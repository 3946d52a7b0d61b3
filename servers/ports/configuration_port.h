#pragma once

#include "core/instant.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Asks other entry instances for the configuration that they have in force.
class ConfigurationPort
{
public:
    /// Receives the text of the configuration, or an error.
    using FetchDone = std::function<void(std::error_code, std::string_view text)>;

    virtual ~ConfigurationPort() = default;

    /// `address` is the digest address "IP:port" of the instance to ask. `done` is called once,
    /// later, and at `deadline` at the latest.
    virtual void fetch(const std::string &address, Instant deadline, FetchDone done) = 0;
};

} // namespace monsoonsail
