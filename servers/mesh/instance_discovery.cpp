#include "servers/mesh/instance_discovery.h"

#include "core/hash.h"

#include <cstdint>
#include <utility>

namespace monsoonsail {

namespace {

constexpr std::string_view topic = "keyed.entries";
/// Time from a failed call to the next one.
constexpr Duration retryInterval = std::chrono::milliseconds(500);
/// Instances that start later send digests themselves, so reading the addresses again only helps if
/// those digests got lost.
constexpr Duration readInterval = std::chrono::seconds(10);
/// Parts of the read interval over which instances spread their repeated writes.
constexpr std::int64_t writeSlots = 64;

} // namespace

InstanceDiscovery::InstanceDiscovery(std::string instance, std::string address, RecordLog &log,
                                     Mesh &mesh, std::function<Instant()> now,
                                     AddressCheck isAddress)
    : m_instance(std::move(instance))
    , m_address(std::move(address))
    , m_log(log)
    , m_mesh(mesh)
    , m_now(std::move(now))
    , m_isAddress(std::move(isAddress))
    , m_writeSlot(static_cast<std::int64_t>(stableHash(m_instance) % std::uint64_t{writeSlots}))
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
                     m_nextCallAt = m_now();
                     if (error)
                         m_nextCallAt += retryInterval;
                     else if (m_hasReadAddresses)
                         m_nextCallAt += m_mesh.scaledInterval(readInterval);
                 });
}

void InstanceDiscovery::readAddresses()
{
    m_log.readNewest(topic, [this](std::error_code error, const LogRecords &records) {
        m_isCallPending = false;
        if (error) {
            m_nextCallAt = m_now() + retryInterval;
            return;
        }
        m_hasReadAddresses = true;
        // The store may have come back from a copy without the own address.
        m_isRegistered = false;
        for (const LogRecord &record : records.records) {
            m_isRegistered =
                    m_isRegistered || (record.key == m_instance && record.value == m_address);
            if (m_isAddress(record.value))
                m_mesh.addCandidate(record.value, m_now());
        }
        const Duration interval = m_mesh.scaledInterval(readInterval);
        m_nextCallAt = m_now() + (m_isRegistered ? interval : interval * m_writeSlot / writeSlots);
    });
}

} // namespace monsoonsail
