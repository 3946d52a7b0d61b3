#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint_listing.h"
#include "servers/site/site_configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Parses the records that operators and endpoints write to the platform's store.
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
};

} // namespace monsoonsail
