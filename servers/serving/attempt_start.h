#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoonsail {

/// Where the engine of an attempt finds the KV cache for its request.
struct CacheSource
{
    enum class Kind {
        None,
        Moved,  ///< The cache of an earlier run, stored under a handle; the run continues from it.
        Copied, ///< Prompt parts that another endpoint has cached; they are copied before the run.
    };
    Kind kind = Kind::None;
    std::string address; ///< "IP:port" of the endpoint that has or had the cache.
    std::string handle;  ///< Set if the kind is Moved.
};

/// Parameters of one attempt to run a request on an endpoint.
struct AttemptStart
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    EndpointId endpoint;
    std::string address;        ///< "IP:port" of the endpoint.
    std::string instance;       ///< Name of the instance that is expected at this address.
    std::int64_t startedMs = 0; ///< Start of the endpoint's incarnation, in ms since 1970.
    SoftwareVersion software;   ///< Of the endpoint.
    /// Whether a connection whose endpoint has not named its start yet is asked for it first. The
    /// request is not sent to another incarnation.
    bool checksIncarnation = false;
    AccountId account;               ///< Empty if the route is public.
    std::optional<unsigned> urgency; ///< 0 is the most urgent.
    std::optional<EventId> resumeAfter;
    CacheSource cache;
    bool isStream = false;       ///< Whether a successful answer is relayed event by event.
    Instant connectionUsedAfter; ///< Kept connections are only used if they were in use after this.
    Instant connectDeadline;     ///< The request is not sent after this instant.
    Instant deadline;            ///< The endpoint may stop working at this instant.
};

} // namespace monsoonsail
