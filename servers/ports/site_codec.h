#pragma once

#include "core/instant.h"
#include "servers/endpoints/endpoint_listing.h"
#include "servers/site/site_configuration.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Reads what operators and endpoints have written into the platform's store.
class SiteCodec
{
public:
    virtual ~SiteCodec() = default;

    /// Returns the topic and the key under which the configuration lies.
    virtual std::string_view configurationTopic() const = 0;
    virtual std::string_view configurationKey() const = 0;
    /// Returns the topic in which each endpoint has a record under the name of its instance.
    virtual std::string_view endpointTopic() const = 0;

    /// Returns nullptr, with the reason in `fault`, if the text is no configuration.
    virtual std::shared_ptr<const SiteConfiguration>
    parseConfiguration(std::string_view text, std::string &fault) const = 0;
    /// Returns nothing, with the reason in `fault`, if the text names no endpoint.
    virtual std::optional<EndpointListing> parseEndpointListing(const std::string &instance,
                                                                std::string_view text, Instant now,
                                                                std::string &fault) const = 0;
};

} // namespace monsoonsail
