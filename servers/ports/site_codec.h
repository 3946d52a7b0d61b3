#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint_listing.h"
#include "servers/rollout/rollout_order.h"
#include "servers/rollout/rollout_state.h"
#include "servers/site/site_configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Parses the records that operators and endpoints write to the platform's store, and composes
/// those that operators read there.
class SiteCodec
{
public:
    virtual ~SiteCodec() = default;

    /// Returns the topic and the key of the configuration.
    virtual std::string_view configurationTopic() const = 0;
    virtual std::string_view configurationKey() const = 0;
    /// Returns the topic of the endpoints. The key of a record is the name of the endpoint's
    /// instance.
    virtual std::string_view endpointTopic() const = 0;

    /// Returns nullptr, with the reason in `fault`, if the text is not a valid configuration.
    virtual std::shared_ptr<const SiteConfiguration>
    parseConfiguration(std::string_view text, std::string &fault) const = 0;
    /// Returns std::nullopt, with the reason in `fault`, if the text does not describe an endpoint.
    virtual std::optional<EndpointListing> parseEndpointListing(const std::string &instance,
                                                                std::string_view text, Instant now,
                                                                std::string &fault) const = 0;

    /// Whether the key, in the topic of the configuration, is that of an order of a roll-out.
    virtual bool isRolloutOrder(std::string_view /*key*/) const { return false; }
    /// Returns std::nullopt, with the reason in `fault`, if the text is not a valid order. The
    /// position and the time of the order are left to the caller.
    virtual std::optional<RolloutOrder> parseRolloutOrder(std::string_view /*key*/,
                                                          std::string_view /*text*/,
                                                          std::string & /*fault*/) const
    {
        return std::nullopt;
    }
    /// Returns the topic, key and text of the record that tells operators about a roll-out.
    virtual std::string_view rolloutStatusTopic() const { return {}; }
    virtual std::string rolloutStatusKey(const ServiceId & /*service*/) const { return {}; }
    virtual std::string rolloutStatus(RolloutPhase /*phase*/,
                                      const SoftwareVersion & /*target*/) const
    {
        return {};
    }
};

} // namespace monsoonsail
