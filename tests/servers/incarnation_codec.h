#pragma once

#include "servers/ports/site_codec.h"
#include "tests/servers/revision_codec.h"

#include <string>

namespace monsoonsail {

/// Reads entries of the form "<start in ms>/<sequence>/<1 if it is leaving, else 0>".
class IncarnationCodec : public SiteCodec
{
public:
    static constexpr std::string_view endpoints = "keyed.servers";

    static std::string entry(const EndpointListing &listing)
    {
        return std::to_string(listing.startedMs) + "/" + std::to_string(listing.sequence) + "/"
                + (listing.isLeaving ? "1" : "0");
    }

    std::string_view configurationTopic() const override { return "keyed.op"; }
    std::string_view configurationKey() const override { return "config"; }
    std::string_view endpointTopic() const override { return endpoints; }
    /// Reads a record as the revision of a configuration without routes.
    std::shared_ptr<const SiteConfiguration> parseConfiguration(std::string_view text,
                                                                std::string &fault) const override
    {
        return RevisionCodec().parseConfiguration(text, fault);
    }
    std::optional<EndpointListing> parseEndpointListing(const std::string &instance,
                                                        std::string_view text, Instant /*now*/,
                                                        std::string & /*fault*/) const override
    {
        const std::string value(text);
        const std::size_t sequence = value.find('/') + 1;
        EndpointListing listing{.instance = instance,
                                .startedMs = std::stoll(value),
                                .sequence = std::stoull(value.substr(sequence)),
                                .service = ServiceId("books"),
                                .address = "10.0.0.1:80",
                                .zone = ZoneId("a")};
        listing.isLeaving = value.back() == '1';
        return listing;
    }
};

} // namespace monsoonsail
