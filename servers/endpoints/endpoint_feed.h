#pragma once

#include "core/log_position.h"
#include "servers/endpoints/endpoint_update_queue.h"
#include "servers/ports/site_codec.h"
#include "servers/serving/serving_context.h"
#include "servers/store/topic_follower.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Keeps the registry of endpoints up to date with the entries that endpoints write to the store.
class EndpointFeed : public TopicSink
{
public:
    EndpointFeed(ServingContext &context, const SiteCodec &codec);

    /// Sets the function to call at the end of a read if endpoints have changed their state since
    /// the read before it.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

    /// Sets whether to queue changes for sending to the other entry instances. Changes found by the
    /// first read of the list are never queued, since the other instances already know them.
    void setPublishesUpdates(bool publishes) { m_publishesUpdates = publishes; }
    /// Records a position in the list's log, which shows the era of the store.
    void recordPosition(LogOffset position, Instant now);
    /// Records that another entry instance has read the store up to `asOf`.
    void recordStoreReadByPeer(Instant asOf);
    /// Whether the newest read of the list failed.
    bool isInterrupted() const { return m_isInterrupted; }
    /// When reads that had failed succeeded again; Instant::min() if that was never so.
    Instant regainedAt() const { return m_regainedAt; }
    EndpointUpdateQueue &updateQueue() { return m_updateQueue; }
    /// Queues the changes that the next read finds for the instances of the own availability zone.
    void shareNextRead() { m_sharesNextRead = true; }
    EndpointUpdateQueue &zoneUpdateQueue() { return m_zoneUpdateQueue; }

    /// Whether the list has been read once.
    bool hasRead() const { return m_firstReadAt.has_value(); }

    void onValueChanged(const LogRecord &record, Instant now) override;
    std::vector<std::string> knownKeys() const override;
    void onKeyRemoved(const std::string &key, LogOffset offset, Instant now) override;
    void onCaughtUp(LogOffset end, Instant asOf, Instant now) override;
    void onReadFailed(std::error_code error, Instant since, Instant now) override;

private:
    /// Whether the store has been unreachable for long enough that entries may have lapsed.
    bool mayHaveLapsed(Instant now) const;
    void handleStateChange(const Endpoint &endpoint);

    ServingContext &m_context;
    const SiteCodec &m_codec;
    std::function<void()> m_changeHandler;
    bool m_hasChanges = false;
    EndpointUpdateQueue m_updateQueue;
    EndpointUpdateQueue m_zoneUpdateQueue;
    bool m_sharesNextRead = false;
    bool m_isApplyingRead = false; ///< Whether a change comes from the list, not from a bulletin.
    bool m_publishesUpdates = true;
    std::optional<Instant> m_firstReadAt;
    /// Whether the newest call failed.
    bool m_isInterrupted = false;
    bool m_isRefused = false; ///< Whether the store refused the newest call.
    Instant m_readFailedAt;   ///< When the last call that failed did so.
    Instant m_regainedAt = Instant::min();
    /// Newest instant at which any entry instance is known to have read the store.
    Instant m_storeReadAt = Instant::min();
    /// Entries dropped until this instant may only have lapsed.
    Instant m_lapseGraceUntil = Instant::min();
    std::optional<StoreEra> m_era; ///< Latest era of the store that is known.
    /// Entries missing until this instant may only be missing in the copy from which the store came
    /// back.
    Instant m_restoreGraceUntil = Instant::min();
};

} // namespace monsoonsail
