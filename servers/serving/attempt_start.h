#pragma once

#include "core/identifiers.h"
#include "core/instant.h"

#include <optional>
#include <string>

namespace monsoonsail {

/// Where an attempt finds the KV cache of its request.
struct CacheSource
{
    enum class Kind {
        None,
        Moved,  ///< The memory of an earlier run, held under a handle; the run goes on from it.
        Copied, ///< Prompt parts that another endpoint holds; they are copied before the run.
    };
    Kind kind = Kind::None;
    std::string address; ///< "IP:port" of the endpoint that holds or held the cache.
    std::string handle;  ///< Set if moved.
};

/// Asks for one attempt to run a request on an endpoint.
struct AttemptStart
{
    RequestNumber request = 0;
    AttemptNumber attempt = 0;
    EndpointId endpoint;
    std::string address;             ///< "IP:port" of the endpoint.
    std::string instance;            ///< Name of the instance that has to have this address.
    AccountId account;               ///< Empty if the route is public.
    std::optional<unsigned> urgency; ///< 0 is the most urgent.
    std::optional<EventId> resumeAfter;
    CacheSource cache;
    bool isStream = false;              ///< Whether a success is relayed event by event.
    bool requiresNewConnection = false; ///< Whether a kept connection is too uncertain.
    Instant connectionUsedAfter; ///< A kept connection must have been in use after this instant.
    Instant connectDeadline;     ///< Not sent after this instant.
    Instant deadline;            ///< The endpoint may stop working at this instant.
};

} // namespace monsoonsail
