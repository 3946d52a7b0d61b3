#pragma once

#include "core/host_address.h"
#include "core/instant.h"
#include "servers/mesh/mesh.h"
#include "servers/ports/record_log.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace monsoonsail {

/// Discovers other entry instances through the store: each instance writes its digest address there
/// and periodically reads those of the others. It writes its address again when a list lacks it.
class InstanceDiscovery
{
public:
    /// Whether a text that another writer may have left is an address to send digests to.
    using AddressCheck = std::function<bool(std::string_view)>;

    /// References must outlive the object.
    InstanceDiscovery(std::string instance, std::string address, RecordLog &log, Mesh &mesh,
                      std::function<Instant()> now, AddressCheck isAddress = isHostAddress);

    /// Starts the next call to the store if it is due. Call it regularly.
    void advance();

private:
    void registerAddress();
    void readAddresses();

    const std::string m_instance;
    const std::string m_address;
    RecordLog &m_log;
    Mesh &m_mesh;
    const std::function<Instant()> m_now;
    const AddressCheck m_isAddress;
    const std::int64_t m_writeSlot; ///< Chosen by name, for repeated writes.
    bool m_isRegistered = false;
    bool m_hasReadAddresses = false;
    bool m_isCallPending = false;
    Instant m_nextCallAt;
};

} // namespace monsoonsail
