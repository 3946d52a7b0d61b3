#pragma once

#include "servers/mesh/digest.h"

#include <protozero/pbf_message.hpp>
#include <protozero/pbf_writer.hpp>

#include <cstdint>

// The records in a digest, each of which is a nested message on the wire.

namespace monsoonsail {

/// Numbers of the fields of the nested messages on the wire, in the order in which they are
/// written.
enum class NestedField : protozero::pbf_tag_type {
    First = 1,
    Second = 2,
    Third = 3,
    Fourth = 4,
    Fifth = 5
};

using NestedReader = protozero::pbf_message<NestedField>;

/// Work of a service.
struct Amounts
{
    std::uint64_t nameHash = 0;
    double first = 0;
    double second = 0;
};

/// Last use of a prompt part or of an endpoint.
struct LastUse
{
    std::uint64_t hash = 0;
    Duration age{};
};

void writeLoad(const Digest::EndpointLoad &load, protozero::pbf_writer writer);
Digest::EndpointLoad readLoad(NestedReader reader);
/// Writes the hash of a name and two amounts.
void writeAmounts(std::uint64_t nameHash, double first, double second,
                  protozero::pbf_writer writer);
Amounts readAmounts(NestedReader reader);
void writeAccountUse(const Digest::AccountUse &use, protozero::pbf_writer writer);
Digest::AccountUse readAccountUse(NestedReader reader);
void writeCount(const Digest::UsageCount &count, protozero::pbf_writer writer);
Digest::UsageCount readCount(NestedReader reader);
void writePartCrash(const Digest::PartCrash &crash, protozero::pbf_writer writer);
Digest::PartCrash readPartCrash(NestedReader reader);
/// Writes the last use of a prompt part or of an endpoint, which both consist of a hash and an age.
void writeLastUse(std::uint64_t hash, Duration age, protozero::pbf_writer writer);
LastUse readLastUse(NestedReader reader);
void writeEndpointLimit(const Digest::EndpointLimit &limit, protozero::pbf_writer writer);
Digest::EndpointLimit readEndpointLimit(NestedReader reader);
void writeEndpointSpeed(const Digest::EndpointSpeed &speed, protozero::pbf_writer writer);
Digest::EndpointSpeed readEndpointSpeed(NestedReader reader);

} // namespace monsoonsail
