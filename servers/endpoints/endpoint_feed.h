#pragma once

#include "servers/ports/site_codec.h"
#include "servers/serving/serving_context.h"
#include "servers/store/topic_follower.h"

namespace monsoonsail {

/// Takes over the endpoints that list themselves in the store.
class EndpointFeed : public TopicSink
{
public:
    EndpointFeed(ServingContext &context, const SiteCodec &codec);

    void changed(const LogRecord &record, Instant now) override;
    void dropped(const std::string &key, Instant now) override;
    void current(Instant asOf, Instant now) override;
    void interrupted(std::error_code error, Instant now) override;

private:
    void stateChanged(const Endpoint &endpoint);

    ServingContext &m_context;
    const SiteCodec &m_codec;
    bool m_isInterrupted = false;
    Instant m_lapseEnd = Instant::min(); ///< Until then entries may be missing by a lapse only.
};

} // namespace monsoonsail
