#pragma once

#include "core/instant.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/configuration_port.h"
#include "servers/serving/serving_context.h"
#include "servers/site/configuration_feed.h"

#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace monsoonsail {

/// Gets the configuration from another entry instance if this one can't read it from the store in
/// time: the store may turn away or be cut off from some instances only.
class ConfigurationFetcher
{
public:
    /// `instance` is the name of this instance. References must outlive the fetcher.
    ConfigurationFetcher(std::string instance, ServingContext &context, ConfigurationFeed &feed,
                         ConfigurationPort &port, std::function<Instant()> now);

    /// Asks a peer with a later configuration, once there has been one for longer than a read of
    /// the store takes. Call periodically.
    void advance(const Mesh &mesh);

private:
    /// Returns the peer to ask next: preferably one of the own availability zone, another one after
    /// each failure. Returns nullptr if no live peer has a later configuration.
    const Peer *choosePeer(const Mesh &mesh) const;
    void handleAnswer(const std::string &peer, std::error_code error, std::string_view text);

    const std::string m_instance;
    ServingContext &m_context;
    ConfigurationFeed &m_feed;
    ConfigurationPort &m_port;
    const std::function<Instant()> m_now;
    bool m_isCallPending = false;
    unsigned m_failures = 0; ///< In a row.
    Instant m_nextCallAt;
};

} // namespace monsoonsail
