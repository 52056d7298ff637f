#include <jasminespread/grant.h>

#include <boost/json.hpp>

namespace jasminespread {

namespace json = boost::json;

namespace {

Result<json::object> parseObject(std::string_view text)
{
    boost::system::error_code ec;
    json::value value = json::parse(text, ec);
    if (ec) {
        return fail(ErrorKind::InvalidInput, "grant message is not JSON: " + ec.message());
    }
    if (!value.is_object()) {
        return fail(ErrorKind::InvalidInput, "grant message is not a JSON object");
    }
    return std::move(value.get_object());
}

Result<const json::value*> member(const json::object& object, std::string_view name)
{
    const json::value* value = object.if_contains(name);
    if (value == nullptr) {
        return fail(ErrorKind::InvalidInput, "field \"" + std::string(name) + "\" is missing in a grant message");
    }
    return value;
}

Result<std::string> readText(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, member(object, name));
    if (!value->is_string()) {
        return fail(ErrorKind::InvalidInput, "field \"" + std::string(name) + "\" of a grant message is not a string");
    }
    return std::string(value->get_string());
}

template <typename Number> Result<Number> toNumber(const json::value& value, std::string_view name)
{
    boost::system::error_code ec;
    const Number number = value.is_number() ? value.to_number<Number>(ec) : Number {};
    if (ec || !value.is_number()) {
        return fail(ErrorKind::InvalidInput,
            "field \"" + std::string(name) + "\" of a grant message is not an integer in range");
    }
    return number;
}

template <typename Number> Result<Number> readNumber(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, member(object, name));
    return toNumber<Number>(*value, name);
}

Result<const json::array*> readArray(const json::object& object, std::string_view name)
{
    BOOST_LEAF_AUTO(value, member(object, name));
    if (!value->is_array()) {
        return fail(ErrorKind::InvalidInput, "field \"" + std::string(name) + "\" of a grant message is not an array");
    }
    return &value->get_array();
}

Result<const json::object*> asObject(const json::value& value, std::string_view name)
{
    if (!value.is_object()) {
        return fail(ErrorKind::InvalidInput,
            "field \"" + std::string(name) + "\" of a grant message has an element that is not an object");
    }
    return &value.get_object();
}

Result<GroupName> readGroup(const json::object& object)
{
    BOOST_LEAF_AUTO(text, readText(object, "group"));
    const std::optional<GroupName> group = parseGroupName(text);
    if (!group) {
        return fail(ErrorKind::InvalidInput, "\"" + text + "\" is not a group name; write \"<service>.<index>\"");
    }
    return *group;
}

template <typename Enum, std::size_t Size>
Result<Enum> readEnum(const json::object& object, std::string_view name, const std::array<EnumName<Enum>, Size>& table)
{
    BOOST_LEAF_AUTO(text, readText(object, name));
    const std::optional<Enum> value = enumValue(table, text);
    if (!value) {
        return fail(ErrorKind::InvalidInput,
            "field \"" + std::string(name) + "\" of a grant message has the unknown value \"" + text + "\"");
    }
    return *value;
}

Result<GroupGrant> readGrant(const json::object& object)
{
    GroupGrant grant;
    BOOST_LEAF_ASSIGN(grant.group, readGroup(object));
    BOOST_LEAF_ASSIGN(grant.term, readNumber<std::uint64_t>(object, "term"));
    BOOST_LEAF_ASSIGN(grant.revision, readNumber<std::uint64_t>(object, "revision"));
    BOOST_LEAF_AUTO(lease, readNumber<std::uint32_t>(object, "leaseMs"));
    grant.lease = Milliseconds(lease);
    if (!object.contains("partitions")) {
        return grant;
    }
    BOOST_LEAF_AUTO(rows, readArray(object, "partitions"));
    std::vector<GrantedPartition> partitions;
    partitions.reserve(rows->size());
    for (const json::value& element : *rows) {
        BOOST_LEAF_AUTO(row, asObject(element, "partitions"));
        GrantedPartition partition;
        BOOST_LEAF_ASSIGN(partition.partition, readNumber<std::uint32_t>(*row, "id"));
        BOOST_LEAF_ASSIGN(partition.token, readNumber<std::uint64_t>(*row, "token"));
        partitions.push_back(partition);
    }
    grant.partitions = std::move(partitions);
    return grant;
}

Result<GroupGrantResult> readResult(const json::object& object)
{
    GroupGrantResult result;
    BOOST_LEAF_ASSIGN(result.group, readGroup(object));
    BOOST_LEAF_ASSIGN(result.status, readEnum(object, "status", grantStatusNames));
    BOOST_LEAF_ASSIGN(result.term, readNumber<std::uint64_t>(object, "term"));
    BOOST_LEAF_ASSIGN(result.revision, readNumber<std::uint64_t>(object, "revision"));
    BOOST_LEAF_AUTO(busy, readArray(object, "busy"));
    for (const json::value& element : *busy) {
        BOOST_LEAF_AUTO(partition, toNumber<std::uint32_t>(element, "busy"));
        result.busy.push_back(partition);
    }
    return result;
}

} // namespace

std::string encodeGrantBatch(const GrantBatch& batch)
{
    json::array grants;
    for (const GroupGrant& grant : batch.grants) {
        json::object row {{"group", toText(grant.group)}, {"term", grant.term}, {"revision", grant.revision},
            {"leaseMs", grant.lease.count()}};
        if (grant.partitions) {
            json::array partitions;
            for (const GrantedPartition& partition : *grant.partitions) {
                partitions.push_back(json::object {{"id", partition.partition}, {"token", partition.token}});
            }
            row["partitions"] = std::move(partitions);
        }
        grants.push_back(std::move(row));
    }
    return json::serialize(json::object {{"instance", batch.granter.id}, {"incarnation", batch.granter.incarnation},
        {"nonce", batch.nonce}, {"grants", std::move(grants)}});
}

Result<GrantBatch> decodeGrantBatch(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    GrantBatch batch;
    BOOST_LEAF_ASSIGN(batch.granter.id, readText(object, "instance"));
    BOOST_LEAF_ASSIGN(batch.granter.incarnation, readNumber<std::uint64_t>(object, "incarnation"));
    BOOST_LEAF_ASSIGN(batch.nonce, readText(object, "nonce"));
    BOOST_LEAF_AUTO(rows, readArray(object, "grants"));
    for (const json::value& element : *rows) {
        BOOST_LEAF_AUTO(row, asObject(element, "grants"));
        BOOST_LEAF_AUTO(grant, readGrant(*row));
        batch.grants.push_back(std::move(grant));
    }
    return batch;
}

std::string encodeGrantReply(const GrantReply& reply)
{
    json::array results;
    for (const GroupGrantResult& result : reply.results) {
        json::array busy;
        for (const std::uint32_t partition : result.busy) {
            busy.emplace_back(partition);
        }
        results.push_back(
            json::object {{"group", toText(result.group)}, {"status", enumName(grantStatusNames, result.status)},
                {"term", result.term}, {"revision", result.revision}, {"busy", std::move(busy)}});
    }
    return json::serialize(json::object {{"server", reply.server}, {"incarnation", reply.incarnation},
        {"nonce", reply.nonce}, {"state", enumName(serverStateNames, reply.state)}, {"results", std::move(results)}});
}

Result<GrantReply> decodeGrantReply(std::string_view text)
{
    BOOST_LEAF_AUTO(object, parseObject(text));
    GrantReply reply;
    BOOST_LEAF_ASSIGN(reply.server, readText(object, "server"));
    BOOST_LEAF_ASSIGN(reply.incarnation, readNumber<std::uint64_t>(object, "incarnation"));
    BOOST_LEAF_ASSIGN(reply.nonce, readText(object, "nonce"));
    BOOST_LEAF_ASSIGN(reply.state, readEnum(object, "state", serverStateNames));
    BOOST_LEAF_AUTO(rows, readArray(object, "results"));
    for (const json::value& element : *rows) {
        BOOST_LEAF_AUTO(row, asObject(element, "results"));
        BOOST_LEAF_AUTO(result, readResult(*row));
        reply.results.push_back(std::move(result));
    }
    return reply;
}

} // namespace jasminespread
