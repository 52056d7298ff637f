#include "gateway/gateway_configuration.h"

#include <algorithm>
#include <cctype>

namespace jasminespread {

bool HostRoute::allowsRegion(std::string_view region) const noexcept
{
    return homeRegions.empty() || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
}

const HostRoute* findRoute(const GatewayConfiguration& configuration, std::string_view host, std::string_view path)
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    const auto sameHost = [name](const HostRoute& route) {
        return std::equal(route.host.begin(), route.host.end(), name.begin(), name.end(),
            [](char a, char b) { return a == static_cast<char>(std::tolower(static_cast<unsigned char>(b))); });
    };
    const HostRoute* best = nullptr;
    for (const HostRoute& route : configuration.routes) {
        const bool longer = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (longer && path.starts_with(route.pathPrefix) && sameHost(route)) {
            best = &route;
        }
    }
    return best;
}

} // namespace jasminespread
