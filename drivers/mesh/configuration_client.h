#pragma once

#include "drivers/http/curl_client.h"
#include "servers/ports/configuration_port.h"

#include <string>
#include <string_view>

namespace monsoonsail {

/// Fetches the configuration of other entry instances over HTTP, at the TCP port of the number at
/// which they receive digests.
class ConfigurationClient : public ConfigurationPort
{
public:
    /// Path at which an instance serves the text of its configuration.
    static constexpr std::string_view path = "/configuration";

    /// `http` must outlive the client.
    explicit ConfigurationClient(CurlClient &http)
        : m_http(http)
    { }

    void fetch(const std::string &address, Instant deadline, FetchDone done) override;

private:
    CurlClient &m_http;
};

} // namespace monsoonsail
