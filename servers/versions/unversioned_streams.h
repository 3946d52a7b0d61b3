#pragma once

#include "servers/versions/stream_versions.h"

namespace monsoonsail {

/// For endpoints that all have the same software, which has no version.
class UnversionedStreams : public StreamVersions
{
public:
    bool mayBegin(const ServiceId & /*service*/, const SoftwareVersion &software) const override
    {
        return software.isEmpty();
    }
    void recordBegin(const ServiceId & /*service*/, std::string_view /*request*/,
                     const SoftwareVersion & /*software*/) override
    { }
    void findOrigin(const ServiceId & /*service*/, std::string_view /*request*/, Instant now,
                    OriginDone done) override
    {
        done({.software = SoftwareVersion(), .ground = OriginGround::OnlyVersion}, now);
    }
};

} // namespace monsoonsail
