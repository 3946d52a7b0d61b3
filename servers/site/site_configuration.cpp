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
        m_routesOfHost[route.host].push_back(&route);
    for (auto &[host, ofHost] : m_routesOfHost) {
        std::ranges::stable_sort(ofHost, std::greater{},
                                 [](const Route *route) { return route->pathPrefix.size(); });
    }
    for (const Account &account : m_accounts) {
        for (const std::string &key : account.apiKeys)
            m_accountOfKey[key] = &account;
    }
    for (const Service &service : m_services)
        m_serviceOfName[service.name.view()] = &service;
}

const Route *SiteConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto ofHost = m_routesOfHost.find(host);
    if (ofHost == m_routesOfHost.end())
        return nullptr;
    for (const Route *route : ofHost->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const Account *SiteConfiguration::findAccount(std::string_view apiKey) const
{
    const auto account = m_accountOfKey.find(apiKey);
    return account == m_accountOfKey.end() ? nullptr : account->second;
}

const Service *SiteConfiguration::findService(const ServiceId &service) const
{
    const auto entry = m_serviceOfName.find(service.view());
    return entry == m_serviceOfName.end() ? nullptr : entry->second;
}

} // namespace monsoonsail
