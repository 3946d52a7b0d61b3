#include "servers/versions/version_directory.h"

#include <utility>

namespace monsoonsail {

VersionDirectory::VersionDirectory(const std::string &instance, const EndpointRegistry &endpoints,
                                   RecordLog &log, std::function<Instant()> now,
                                   DecisionLog &decisions)
    : m_now(now)
    , m_roster(instance, endpoints, log, now, decisions)
    , m_begins(instance, log, std::move(now), decisions)
{ }

void VersionDirectory::advance(bool isReader, Duration clockCorrection, unsigned instanceCount)
{
    m_roster.advance(isReader, clockCorrection);
    m_begins.advance([this](const ServiceId &service) { return m_roster.isMixed(service); },
                     instanceCount);
}

bool VersionDirectory::mayBegin(const ServiceId &service, const SoftwareVersion &software) const
{
    return m_roster.contains(service, software);
}

void VersionDirectory::recordBegin(const ServiceId &service, std::string_view request,
                                   const SoftwareVersion &software)
{
    m_begins.add(service, request, software);
}

void VersionDirectory::findOrigin(const ServiceId &service, std::string_view request, Instant now,
                                  OriginDone done)
{
    if (const auto own = m_begins.findOwn(service, request)) {
        done({.software = own, .ground = OriginGround::Own}, now);
        return;
    }
    // An earlier read does not show versions that another instance has added since.
    m_roster.read([this, service, request = std::string(request),
                   done = std::move(done)](std::error_code error) {
        if (error)
            done({.ground = OriginGround::StoreUnreachable}, m_now());
        else
            findWithRoster(service, request, done);
    });
}

void VersionDirectory::findWithRoster(const ServiceId &service, const std::string &request,
                                      const OriginDone &done)
{
    if (const auto only = m_roster.onlyVersion(service)) {
        done({.software = only, .ground = OriginGround::OnlyVersion}, m_now());
        return;
    }
    m_begins.find(service, request,
                  [this, done](std::error_code error, std::optional<SoftwareVersion> software) {
                      if (software)
                          done({.software = software, .ground = OriginGround::BeginRecord},
                               m_now());
                      else
                          done({.ground = error ? OriginGround::StoreUnreachable
                                                : OriginGround::NoRecord},
                               m_now());
                  });
}

} // namespace monsoonsail
