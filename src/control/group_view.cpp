#include "control/group_view.h"

namespace jasminespread {
namespace {

void toWire(const InstanceReference& reference, wire::InstanceReference& out)
{
    out.set_id(reference.id);
    out.set_incarnation(reference.incarnation);
}

} // namespace

GroupName fromWire(const wire::GroupReference& group) { return {group.service(), group.index()}; }

void toWire(const GroupName& group, wire::GroupReference& out)
{
    out.set_service(group.service);
    out.set_index(group.index);
}

wire::GroupView toView(const GroupRecord& record, std::uint64_t version, std::int64_t servingSinceMs)
{
    wire::GroupView view;
    toWire(record.group, *view.mutable_group());
    view.set_object_version(version);
    view.set_home_region(record.homeRegion);
    view.set_term(record.term);
    toWire(record.primary, *view.mutable_primary());
    if (record.standby) {
        toWire(*record.standby, *view.mutable_standby());
    }
    view.set_next_token(record.nextToken);
    for (const PartitionAssignment& assignment : record.partitions) {
        wire::PartitionAssignment& row = *view.add_partitions();
        row.set_partition(assignment.partition);
        row.set_owner(assignment.owner);
        row.set_token(assignment.token);
    }
    for (const auto& [key, partition] : record.overrides) {
        (*view.mutable_overrides())[key] = partition;
    }
    view.set_serving_since_ms(servingSinceMs);
    return view;
}

GroupRecord fromView(const wire::GroupView& view)
{
    GroupRecord record;
    record.group = fromWire(view.group());
    record.homeRegion = view.home_region();
    record.term = view.term();
    record.primary = {view.primary().id(), view.primary().incarnation()};
    if (view.has_standby()) {
        record.standby = InstanceReference {view.standby().id(), view.standby().incarnation()};
    }
    record.nextToken = view.next_token();
    for (const wire::PartitionAssignment& row : view.partitions()) {
        record.partitions.push_back({row.partition(), row.owner(), row.token()});
    }
    for (const auto& [key, partition] : view.overrides()) {
        record.overrides[key] = partition;
    }
    return record;
}

} // namespace jasminespread
