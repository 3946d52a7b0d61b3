#pragma once

#include "servers/endpoints/news_desk.h"
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
    void setNewsHandler(std::function<void()> handler) { m_newsHandler = std::move(handler); }

    /// Sets whether to have changes told to the other instances, or to leave that to others. What
    /// the first read of the list brings is never told: the others know it.
    void setTellsNews(bool tells) { m_tellsNews = tells; }
    NewsDesk &newsDesk() { return m_newsDesk; }

    void onValueChanged(const LogRecord &record, Instant now) override;
    void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) override;
    void onCaughtUp(LogOffset end, Instant asOf, Instant now) override;
    void onReadFailed(std::error_code error, Instant since, Instant now) override;

private:
    /// Tells whether the store has been away for so long that entries may have lapsed.
    bool mayHaveLapsed(Instant now) const;
    void stateChanged(const Endpoint &endpoint);

    ServingContext &m_context;
    const SiteCodec &m_codec;
    std::function<void()> m_newsHandler;
    bool m_hasNews = false;
    NewsDesk m_newsDesk;
    bool m_tellsNews = true;
    std::optional<Instant> m_firstReadAt;
    std::optional<Instant> m_interruptedSince; ///< Begin of the first of the calls that failed.
    Instant m_lapseEnd = Instant::min(); ///< Until then entries may be missing by a lapse only.
};

} // namespace monsoonsail
