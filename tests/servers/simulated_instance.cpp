#include "tests/servers/simulated_instance.h"

#include "core/hash.h"
#include "drivers/mesh/bulletin_codec.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

namespace {

/// As in ControlPlane.
constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr TopicFollower::Timing configurationTiming{.longPollTime = std::chrono::milliseconds(800),
                                                    .minInterval = std::chrono::milliseconds(50),
                                                    .passiveInterval =
                                                            EndpointExchange::passiveInterval};

ServingLimits limits(const SimulatedInstance::Identity &identity)
{
    return {.repeats = {.ratio = 0.2, .slack = 50, .window = std::chrono::seconds(10)},
            .configurationTime = identity.configurationTime,
            .drainTime = identity.drainTime};
}

} // namespace

SimulatedInstance::SimulatedInstance(const Identity &identity, VirtualScheduler &scheduler,
                                     SimulatedStore &store, const StoreState &storeState,
                                     SimulatedNetwork &network)
    : m_identity(identity)
    , m_scheduler(scheduler)
    , m_network(network)
    , m_gate(std::make_shared<ProcessGate>())
    , m_context(limits(identity), identity.zone, identity.incarnation, m_traffic, m_log, m_metrics)
    , m_storeClient(store, scheduler, identity.clockOffset, stableHash(identity.incarnation),
                    storeState, m_gate)
    , m_configurationFeed(m_context, m_codec)
    , m_configurationFollower(std::string(m_codec.configurationTopic()), configurationTiming,
                              m_storeClient, m_configurationFeed, makeScheduler(), m_log)
    , m_configurationFetcher(identity.name, m_context, m_configurationFeed, *this,
                             [this] { return now(); })
    , m_mesh(identity.name, identity.name)
    , m_exchange(m_identity.name, m_context, m_codec, m_storeClient, m_mesh, *this, makeScheduler())
    , m_discovery(
              identity.name, identity.name, m_storeClient, m_mesh, [this] { return now(); },
              // Instances are addressed by their names.
              [](std::string_view /*text*/) { return true; })
{ }

TopicFollower::Scheduler SimulatedInstance::makeScheduler()
{
    return {.now = [this] { return now(); },
            .at = [this](Instant at,
                         std::function<void()> task) { after(at - now(), std::move(task)); }};
}

void SimulatedInstance::after(Duration delay, std::function<void()> task)
{
    m_scheduler.at(m_scheduler.now() + delay,
                   [gate = m_gate, task = std::move(task)] { gate->passTimer(task); });
}

void SimulatedInstance::start()
{
    m_configurationFeed.setNewsHandler([this] { broadcastDigest(); });
    m_configurationFollower.start();
    m_exchange.start();
    tick();
    sendDigest();
}

// The order of the steps is that of ControlPlane::tick().
void SimulatedInstance::tick()
{
    after(tickInterval, [this] { tick(); });
    if (m_pauseDetector.detectPause(now())) {
        m_exchange.refresh();
        m_configurationFollower.refresh();
    }
    m_mesh.expire(now());
    const bool wasReader = m_exchange.isReader();
    m_exchange.advance(now());
    if (m_exchange.isReader() && !wasReader)
        broadcastDigest();
    updateConfigurationReading();
    m_discovery.advance();
}

void SimulatedInstance::updateConfigurationReading()
{
    m_configurationFollower.setActive(isReader());
    m_configurationFollower.setPassiveInterval(
            m_mesh.scaledInterval(EndpointExchange::passiveInterval));
    m_configurationFeed.updateFromPeers(m_mesh, isReader(), now());
    m_configurationFetcher.advance(m_mesh);
}

Revision SimulatedInstance::revision() const
{
    return m_context.configuration ? m_context.configuration->revision() : 0;
}

void SimulatedInstance::sendDigest()
{
    after(m_mesh.digestInterval(isReader()), [this] { sendDigest(); });
    broadcastDigest();
}

// Without the addresses of peers, which would take most of the test's time: the instances find each
// other through the store.
void SimulatedInstance::broadcastDigest()
{
    const Instant sentAt = now();
    Digest digest{.instance = m_identity.name,
                  .incarnation = m_identity.incarnation,
                  .address = m_identity.name,
                  .zone = m_identity.zone,
                  .sequence = ++m_digestsSent,
                  .sentAt = sentAt,
                  .interval = m_mesh.digestInterval(isReader()),
                  .revision = revision(),
                  .configurationAge = sentAt - m_context.configurationAsOf};
    m_exchange.fillDigest(digest, sentAt);
    digest.isStoreBehind = digest.isReader && m_context.isStoreBehind;
    const auto shared = std::make_shared<const Digest>(std::move(digest));
    for (const std::string &target : m_mesh.targets(sentAt))
        m_network.send({.from = m_identity.name, .to = target, .digest = shared});
}

void SimulatedInstance::receive(const MeshDatagram &datagram)
{
    m_gate->passDatagram([this, datagram] {
        if (datagram.digest) {
            handleDigest(*datagram.digest);
        } else if (datagram.bulletin) {
            handleBulletin(*datagram.bulletin);
        } else if (datagram.asksForConfiguration) {
            const auto text = std::make_shared<const std::string>(m_configurationFeed.text());
            m_network.send({.from = m_identity.name, .to = datagram.from, .configuration = text});
        } else {
            finishFetch({}, *datagram.configuration);
        }
    });
}

void SimulatedInstance::handleDigest(const Digest &digest)
{
    const Peer *peer = m_mesh.applyDigest(digest, now());
    if (peer == nullptr)
        return;
    m_exchange.handleDigest(*peer, now());
    m_configurationFeed.recordAnnouncement(*peer, now());
    if (m_configurationFeed.needsRead(now()) && !m_configurationFollower.isActive())
        m_configurationFollower.refresh();
}

void SimulatedInstance::handleBulletin(std::string_view bytes)
{
    if (const auto bulletin = decodeBulletin(bytes))
        m_exchange.handleBulletin(*bulletin, now());
}

void SimulatedInstance::send(const Bulletin &bulletin, std::span<const std::string> targets)
{
    const auto bytes = std::make_shared<const std::string>(encodeBulletin(bulletin));
    for (const std::string &target : targets)
        m_network.send({.from = m_identity.name, .to = target, .bulletin = bytes});
}

void SimulatedInstance::fetch(const std::string &address, Instant deadline, FetchDone done)
{
    m_fetchDone = std::move(done);
    after(deadline - now(), [this, number = ++m_fetches] {
        if (number == m_fetches)
            finishFetch(std::make_error_code(std::errc::timed_out), {});
    });
    m_network.send({.from = m_identity.name, .to = address, .asksForConfiguration = true});
}

void SimulatedInstance::finishFetch(std::error_code error, std::string_view text)
{
    if (const FetchDone done = std::exchange(m_fetchDone, nullptr))
        done(error, text);
}

bool SimulatedInstance::isUsable(const EndpointId &id) const
{
    const Endpoint *endpoint = m_context.endpoints.find(id);
    return endpoint != nullptr && endpoint->isUsable(now());
}

} // namespace monsoonsail
