#pragma once

#include "core/log_position.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/site_codec.h"
#include "servers/serving/serving_context.h"
#include "servers/store/topic_follower.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace monsoonsail {

/// Applies published configurations as they appear in the store.
class ConfigurationFeed : public TopicSink
{
public:
    ConfigurationFeed(ServingContext &context, const SiteCodec &codec)
        : m_context(context)
        , m_codec(codec)
    { }

    /// Sets the function to call when a configuration has taken effect that no live peer announces.
    void setNewsHandler(std::function<void()> handler) { m_newsHandler = std::move(handler); }

    void onValueChanged(const LogRecord &record, Instant now) override;
    /// A removed configuration stays in force, so there is no key to look for.
    std::vector<std::string> knownKeys() const override { return {}; }
    void onKeyRemoved(const std::string & /*key*/, LogOffset /*offset*/, Instant /*now*/) override
    { }
    void onCaughtUp(LogOffset end, Instant asOf, Instant now) override;
    void onReadFailed(std::error_code /*error*/, Instant /*since*/, Instant /*now*/) override { }

    /// Applies a configuration if it is newer than the one in force. `source` is logged. Returns
    /// its revision, or 0 if it can't be read.
    Revision applyIfNewer(const LogRecord &record, std::string_view source, Instant now);
    /// Called when the configuration that was kept as the store came back has been applied.
    void onKeptApplied();
    /// Returns the text of the configuration in force.
    const std::string &text() const { return m_text; }

    /// Handles the revision that a peer announces in its digest.
    void recordAnnouncement(const Peer &peer, Instant now);
    /// Whether peers announce a configuration that the store has not been asked for lately.
    bool needsRead(Instant now) const;
    /// Updates what the live peers announce, and takes over the age of the configuration from
    /// readers of the store unless this instance is one. Call periodically.
    void updateFromPeers(const Mesh &mesh, bool isReader, Instant now);

private:
    /// Whether the store has the configuration in force, or a later one.
    bool isInStore(LogOffset end) const;
    Revision ownRevision() const;
    /// `peer` is the one that announces the revision; empty if none does.
    void setAnnouncedRevision(Revision announced, std::string_view peer, Instant now);
    /// Handles that a read of the store has not found the configuration that peers announce.
    void handleMissing(StoreEra era, Instant now);

    ServingContext &m_context;
    const SiteCodec &m_codec;
    std::function<void()> m_newsHandler;
    bool m_hasRead = false;
    Revision m_storedRevision = 0;  ///< Of the last configuration read from the store.
    LogOffset m_storedPosition = 0; ///< Position of its record.
    LogOffset m_storeEnd = 0;       ///< End of the last read of the store.
    std::string m_text;             ///< Of the configuration in force.
    /// Since when peers announce m_heardRevision, which is later than the one in force.
    std::optional<Instant> m_laterHeardAt;
    Revision m_heardRevision = 0;
    Revision m_missingRevision = 0; ///< Announced, and not found by the last read since.
    Instant m_nextSearchAt;         ///< When to read the store for that one again.
};

} // namespace monsoonsail
