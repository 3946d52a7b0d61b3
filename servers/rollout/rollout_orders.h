#pragma once

#include "servers/ports/decision_log.h"
#include "servers/ports/site_codec.h"
#include "servers/rollout/rollout_order.h"
#include "servers/store/topic_follower.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsoonsail {

/// The operator's newest order for each service, as read from the store. Load: one record for each
/// roll-out.
class RolloutOrders : public TopicSink
{
public:
    /// The references must outlive the object.
    RolloutOrders(const SiteCodec &codec, DecisionLog &decisions)
        : m_codec(codec)
        , m_decisions(decisions)
    { }

    /// Returns the orders by service.
    const std::map<ServiceId, RolloutOrder> &newest() const { return m_newest; }

    void onValueChanged(const LogRecord &record, Instant now) override;
    /// A removed order is still carried out, so there is no key to look for.
    std::vector<std::string> knownKeys() const override { return {}; }
    void onKeyRemoved(const std::string & /*key*/, LogOffset /*offset*/, Instant /*now*/) override
    { }
    void onCaughtUp(LogOffset /*end*/, Instant asOf, Instant /*now*/) override { m_asOf = asOf; }
    void onReadFailed(std::error_code /*error*/, Instant /*since*/, Instant /*now*/) override { }

private:
    /// Returns when an order that is read now was written at the earliest, within bounds.
    Instant orderTime(Instant now) const;
    /// Returns the order that this one is a copy of, from an earlier era of the store.
    const RolloutOrder *findOriginal(const RolloutOrder &order) const;

    const SiteCodec &m_codec;
    DecisionLog &m_decisions;
    std::map<ServiceId, RolloutOrder> m_newest;
    std::vector<RolloutOrder> m_seen; ///< The last ones of all services.
    std::optional<Instant> m_asOf;    ///< All orders up to then have been read.
};

} // namespace monsoonsail
