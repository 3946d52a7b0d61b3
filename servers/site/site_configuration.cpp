#include "servers/site/site_configuration.h"

#include <algorithm>
#include <utility>

namespace monsoonsail {

SiteConfiguration::SiteConfiguration(Revision revision, std::vector<Route> routes,
                                     std::vector<Service> services, std::vector<Account> accounts,
                                     const ConnectionLimits &limits)
    : m_revision(revision)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_accounts(std::move(accounts))
    , m_limits(limits)
{
    for (const Route &route : m_routes)
        m_routesByHost[route.host].push_back(&route);
    for (auto &[host, hostRoutes] : m_routesByHost) {
        std::ranges::stable_sort(hostRoutes, std::greater{},
                                 [](const Route *route) { return route->pathPrefix.size(); });
    }
    for (const Account &account : m_accounts) {
        for (const std::string &key : account.apiKeys)
            m_accountsByKey[key] = &account;
    }
    for (const Service &service : m_services)
        m_servicesByName[service.name.view()] = &service;
}

const Route *SiteConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto hostRoutes = m_routesByHost.find(host);
    if (hostRoutes == m_routesByHost.end())
        return nullptr;
    for (const Route *route : hostRoutes->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const Account *SiteConfiguration::findAccount(std::string_view apiKey) const
{
    const auto account = m_accountsByKey.find(apiKey);
    return account == m_accountsByKey.end() ? nullptr : account->second;
}

const Service *SiteConfiguration::findService(const ServiceId &service) const
{
    const auto entry = m_servicesByName.find(service.view());
    return entry == m_servicesByName.end() ? nullptr : entry->second;
}

} // namespace monsoonsail
