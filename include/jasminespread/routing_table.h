#pragma once

#include <jasminespread/routing_snapshot.h>

#include <atomic>
#include <memory>

namespace jasminespread {

/// Publishes routing snapshots from the control thread to the workers.
class RoutingTable {
public:
    /// Makes @p snapshot the current one. Thread-safe. Precondition: not null, not modified afterwards.
    void publish(std::shared_ptr<const RoutingSnapshot> snapshot) noexcept { m_current.store(std::move(snapshot)); }
    /// Returns the current snapshot; never null. Thread-safe.
    [[nodiscard]] std::shared_ptr<const RoutingSnapshot> current() const noexcept { return m_current.load(); }

private:
    std::atomic<std::shared_ptr<const RoutingSnapshot>> m_current {std::make_shared<const RoutingSnapshot>()};
};

} // namespace jasminespread
