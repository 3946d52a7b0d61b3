#include "servers/mesh/instance_discovery.h"

#include <utility>

namespace monsoonsail {

namespace {

constexpr std::string_view topic = "keyed.entries";
/// Time from a failed call to the next one.
constexpr Duration retryInterval = std::chrono::milliseconds(500);
/// Instances that start later send digests themselves, so reading the addresses again only helps if
/// those digests got lost.
constexpr Duration readInterval = std::chrono::seconds(10);

} // namespace

InstanceDiscovery::InstanceDiscovery(std::string instance, std::string address, RecordLog &log,
                                     Mesh &mesh, std::function<Instant()> now)
    : m_instance(std::move(instance))
    , m_address(std::move(address))
    , m_log(log)
    , m_mesh(mesh)
    , m_now(std::move(now))
{ }

void InstanceDiscovery::advance()
{
    if (m_isCallPending || m_now() < m_nextCallAt)
        return;
    m_isCallPending = true;
    if (m_isRegistered)
        readAddresses();
    else
        registerAddress();
}

void InstanceDiscovery::registerAddress()
{
    m_log.append(topic, m_instance, m_address, std::nullopt,
                 [this](std::error_code error, LogOffset /*offset*/) {
                     m_isCallPending = false;
                     m_isRegistered = !error;
                     m_nextCallAt = error ? m_now() + retryInterval : m_now();
                 });
}

void InstanceDiscovery::readAddresses()
{
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        m_isCallPending = false;
        m_nextCallAt = m_now() + (error ? retryInterval : m_mesh.scaledInterval(readInterval));
        for (const LogRecord &record : records.records)
            m_mesh.addCandidate(record.value, m_now());
    });
}

} // namespace monsoonsail
