#pragma once

#include "core/identifier.h"

#include <cstdint>

namespace monsoonsail {

/// One incarnation of an endpoint, in the form "<instance>/<start>". A restart gives a new id.
using EndpointId = Identifier<struct EndpointTag>;
/// Availability zone, for example "zvolen".
using ZoneId = Identifier<struct ZoneTag>;
/// Client account; requests are authenticated and allowances granted per account.
using AccountId = Identifier<struct AccountTag>;
/// Name of a service, whose endpoints are interchangeable, for example "tetiva".
using ServiceId = Identifier<struct ServiceTag>;

/// Version of the software of an endpoint. What different versions write does not fit together.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/// Number of a caller's request, unique within one incarnation of the entry instance.
using RequestNumber = std::uint64_t;
/// Number of an attempt to run a request on an endpoint, unique within one incarnation of the
/// entry instance.
using AttemptNumber = std::uint64_t;
/// Position of a record in its topic, which never goes back: the era of the store and the offset
/// that the store gave out in it (LogPosition).
using LogOffset = std::uint64_t;
/// Version of the published configuration; 0 means none.
using Revision = std::uint64_t;
/// Id of an event in a stream; ids increase within the stream.
using EventId = std::uint64_t;

} // namespace monsoonsail
