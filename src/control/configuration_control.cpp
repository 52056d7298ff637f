#include "control/configuration_control.h"

namespace jasminespread {

ConfigurationControl::ConfigurationControl(const InstanceSettings&, std::uint64_t) { }

Effects ConfigurationControl::reduce(const TimedEvent& event, const std::vector<PeerInfo>&)
{
    const OperatorRequested* request = std::get_if<OperatorRequested>(&event.event);
    if (request == nullptr || request->action != OperatorAction::Load || !request->configuration) {
        return {};
    }
    const std::uint64_t next = revision() + 1;
    m_inForce = request->configuration;
    m_inForce->revision = next;
    return {OperatorAnswer {request->request, 200, "{}"}};
}

} // namespace jasminespread
