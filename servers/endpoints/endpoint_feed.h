#pragma once

#include "servers/endpoints/endpoint_update_queue.h"
#include "servers/ports/site_codec.h"
#include "servers/serving/serving_context.h"
#include "servers/store/topic_follower.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Takes over the endpoints that list themselves in the store.
class EndpointFeed : public TopicSink
{
public:
    EndpointFeed(ServingContext &context, const SiteCodec &codec);

    /// `handler` is called after records that have changed the state of endpoints.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

    /// Sets whether to have changes told to the other instances, or to leave that to others. What
    /// the first read of the list brings is never told: the others know it.
    void setPublishesUpdates(bool publishes) { m_publishesUpdates = publishes; }
    EndpointUpdateQueue &updateQueue() { return m_updateQueue; }

    void onValueChanged(const LogRecord &record, Instant now) override;
    void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) override;
    void onCaughtUp(LogOffset end, Instant asOf, Instant now) override;
    void onReadFailed(std::error_code error, Instant since, Instant now) override;

private:
    /// Tells whether the store has been away for so long that entries may have lapsed.
    bool mayHaveLapsed(Instant now) const;
    void handleStateChange(const Endpoint &endpoint);

    ServingContext &m_context;
    const SiteCodec &m_codec;
    std::function<void()> m_changeHandler;
    bool m_hasChanges = false;
    EndpointUpdateQueue m_updateQueue;
    bool m_publishesUpdates = true;
    std::optional<Instant> m_firstReadAt;
    std::optional<Instant> m_interruptedSince; ///< Begin of the first of the calls that failed.
    Instant m_lapseGraceUntil =
            Instant::min(); ///< Until then entries may be missing by a lapse only.
};

} // namespace monsoonsail
