#include "control/instance_choice.h"

#include "control/membership.h"
#include "control/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace jasminespread {
namespace {

bool isAvailable(const PeerInfo& peer, const std::string& region)
{
    return peer.live && peer.ready && !peer.leaving && peer.entry.region == region;
}

} // namespace

std::size_t rankInRegion(const ReduceContext& context, const GroupName& group)
{
    const std::string item = toText(group);
    const std::uint64_t own = rendezvousScore(item, context.self.id);
    return static_cast<std::size_t>(std::ranges::count_if(context.membership.peers(), [&](const PeerInfo& peer) {
        return isAvailable(peer, context.settings.region) && rendezvousScore(item, peer.entry.id) > own;
    }));
}

std::optional<InstanceReference> chooseStandby(
    const ReduceContext& context, const GroupName& group, const std::string& region, const InstanceReference& primary)
{
    const PeerInfo* primaryPeer = context.membership.find(primary.id);
    const std::string& domain
        = primaryPeer != nullptr ? primaryPeer->entry.failureDomain : context.settings.failureDomain;
    const std::string item = toText(group);
    const PeerInfo* best = nullptr;
    const auto rank = [&](const PeerInfo& peer) {
        return std::tuple(peer.entry.failureDomain != domain, rendezvousScore(item, peer.entry.id));
    };
    for (const PeerInfo& peer : context.membership.peers()) {
        const bool candidate = isAvailable(peer, region) && peer.entry.id != primary.id;
        if (candidate && (best == nullptr || rank(peer) > rank(*best))) {
            best = &peer;
        }
    }
    return best != nullptr ? std::optional(InstanceReference {best->entry.id, best->incarnation}) : std::nullopt;
}

} // namespace jasminespread
