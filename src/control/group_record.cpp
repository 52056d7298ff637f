#include <jasminespread/group_record.h>

#include <boost/json.hpp>

namespace jasminespread {
namespace {

namespace json = boost::json;

json::object encodeReference(const InstanceReference& reference)
{
    return {{"id", reference.id}, {"incarnation", reference.incarnation}};
}

json::array encodePartitions(const std::vector<PartitionAssignment>& partitions)
{
    json::array rows;
    rows.reserve(partitions.size());
    for (const PartitionAssignment& assignment : partitions) {
        rows.push_back({{"id", assignment.partition}, {"owner", assignment.owner}, {"token", assignment.token}});
    }
    return rows;
}

json::array encodeNames(const std::vector<std::string>& names)
{
    json::array rows;
    for (const std::string& name : names) {
        rows.emplace_back(name);
    }
    return rows;
}

std::string textOf(const json::value& value) { return std::string(value.as_string()); }

InstanceReference decodeReference(const json::value& value)
{
    const json::object& fields = value.as_object();
    return {textOf(fields.at("id")), fields.at("incarnation").to_number<std::uint64_t>()};
}

std::vector<PartitionAssignment> decodePartitions(const json::value& value)
{
    std::vector<PartitionAssignment> partitions;
    for (const json::value& row : value.as_array()) {
        const json::object& fields = row.as_object();
        partitions.push_back({fields.at("id").to_number<std::uint32_t>(), textOf(fields.at("owner")),
            fields.at("token").to_number<std::uint64_t>()});
    }
    return partitions;
}

std::vector<std::string> decodeNames(const json::object& fields, std::string_view name)
{
    std::vector<std::string> names;
    const json::value* list = fields.if_contains(name);
    if (list != nullptr) {
        for (const json::value& entry : list->as_array()) {
            names.push_back(textOf(entry));
        }
    }
    return names;
}

/// Throws on a missing field or a wrong type.
GroupRecord decodeFields(const json::object& fields)
{
    GroupRecord record;
    record.group = {textOf(fields.at("service")), fields.at("index").to_number<std::uint32_t>()};
    record.homeRegion = textOf(fields.at("homeRegion"));
    record.term = fields.at("term").to_number<std::uint64_t>();
    record.primary = decodeReference(fields.at("primary"));
    if (!fields.at("standby").is_null()) {
        record.standby = decodeReference(fields.at("standby"));
    }
    record.nextToken = fields.at("nextToken").to_number<std::uint64_t>();
    record.partitions = decodePartitions(fields.at("partitions"));
    for (const json::key_value_pair& entry : fields.at("overrides").as_object()) {
        record.overrides[std::string(entry.key())] = entry.value().to_number<std::uint32_t>();
    }
    record.unconfirmedServers = decodeNames(fields, "unconfirmedServers");
    record.possibleGranters = decodeNames(fields, "possibleGranters");
    record.changeId = textOf(fields.at("changeId"));
    return record;
}

} // namespace

std::string encodeGroupRecord(const GroupRecord& record)
{
    json::object overrides;
    for (const auto& [key, partition] : record.overrides) {
        overrides[key] = partition;
    }
    json::object fields {
        {"service", record.group.service},
        {"index", record.group.index},
        {"homeRegion", record.homeRegion},
        {"term", record.term},
        {"primary", encodeReference(record.primary)},
        {"standby", record.standby ? json::value(encodeReference(*record.standby)) : json::value(nullptr)},
        {"nextToken", record.nextToken},
        {"partitions", encodePartitions(record.partitions)},
        {"overrides", std::move(overrides)},
        {"changeId", record.changeId},
    };
    if (!record.unconfirmedServers.empty()) {
        fields["unconfirmedServers"] = encodeNames(record.unconfirmedServers);
        fields["possibleGranters"] = encodeNames(record.possibleGranters);
    }
    return json::serialize(fields);
}

Result<GroupRecord> decodeGroupRecord(std::string_view text)
{
    try {
        return decodeFields(json::parse(text).as_object());
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput,
            std::string("group object cannot be decoded: ") + error.what() + "; restore it from the primary's view");
    }
}

} // namespace jasminespread
