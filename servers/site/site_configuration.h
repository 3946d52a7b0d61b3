#pragma once

#include "core/identifiers.h"
#include "servers/site/account.h"
#include "servers/site/connection_limits.h"
#include "servers/site/route.h"
#include "servers/site/service.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonsail {

/// A published configuration. Objects are immutable; each revision is a new object.
class SiteConfiguration
{
public:
    SiteConfiguration(Revision revision, std::vector<Route> routes, std::vector<Service> services,
                      std::vector<Account> accounts, const ConnectionLimits &limits);

    /// Returns the route of the host that has the longest matching prefix of `path`, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the account with the key, or nullptr.
    const Account *findAccount(std::string_view apiKey) const;
    /// Returns the service, or nullptr.
    const Service *findService(const ServiceId &service) const;

    Revision revision() const { return m_revision; }
    const std::vector<Route> &routes() const { return m_routes; }
    const std::vector<Service> &services() const { return m_services; }
    const std::vector<Account> &accounts() const { return m_accounts; }
    const ConnectionLimits &limits() const { return m_limits; }

private:
    const Revision m_revision;
    const std::vector<Route> m_routes;
    const std::vector<Service> m_services;
    const std::vector<Account> m_accounts;
    const ConnectionLimits m_limits;
    std::unordered_map<std::string_view, std::vector<const Route *>> m_routesByHost;
    std::unordered_map<std::string_view, const Account *> m_accountsByKey;
    std::unordered_map<std::string_view, const Service *> m_servicesByName;
};

} // namespace monsoonsail
