#pragma once

#include "core/identifier.h"

#include <cstdint>

namespace monsoonsail {

/// One incarnation of an endpoint, "<instance>/<start>": a restarted endpoint is another one.
using EndpointId = Identifier<struct EndpointTag>;
/// Availability zone, for example "zvolen".
using ZoneId = Identifier<struct ZoneTag>;
/// Client account, the unit of authentication and of allowances.
using AccountId = Identifier<struct AccountTag>;
/// Name of a service whose endpoints can replace each other, for example "tetiva".
using ServiceId = Identifier<struct ServiceTag>;

/// One request of a caller; unique for one incarnation of the entry instance.
using RequestNumber = std::uint64_t;
/// One attempt to run a request on an endpoint; unique for one incarnation of the entry instance.
using AttemptNumber = std::uint64_t;
/// Position of a record in its topic, counted from 0.
using LogOffset = std::uint64_t;
/// Version of the published configuration; 0 means none.
using Revision = std::uint64_t;
/// Id of an event of a stream; ids increase within a stream.
using EventId = std::uint64_t;

} // namespace monsoonsail
