#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/effect.h>
#include <jasminespread/event.h>
#include <jasminespread/impl/peer_info.h>
#include <jasminespread/instance_settings.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace jasminespread {

/// Stand-in: puts a loaded configuration into force on this instance only, without store and peers.
class ConfigurationControl {
public:
    ConfigurationControl(const InstanceSettings& settings, std::uint64_t incarnation);

    [[nodiscard]] Effects reduce(const TimedEvent& event, const std::vector<PeerInfo>& peers);
    /// The configuration in force; null before the first one.
    [[nodiscard]] const Configuration* inForce() const { return m_inForce ? &*m_inForce : nullptr; }
    [[nodiscard]] std::uint64_t revision() const { return m_inForce ? m_inForce->revision : 0; }

private:
    std::optional<Configuration> m_inForce;
};

} // namespace jasminespread
