#include <execution_record.h>

#include <boost/json.hpp>

namespace jasminespread::standins {

namespace json = boost::json;

std::string encodeExecutionRecord(const ExecutionRecord& record)
{
    return json::serialize(json::object {{"start", record.startNs}, {"commit", record.commitNs},
        {"server", record.server}, {"key", record.key}, {"group", record.group}, {"partition", record.partition},
        {"token", record.token}, {"term", record.term}, {"requestId", record.requestId}, {"method", record.method},
        {"repeatable", record.repeatable}});
}

Result<ExecutionRecord> decodeExecutionRecord(std::string_view line)
{
    try {
        const json::value value = json::parse(line);
        const json::object& fields = value.as_object();
        ExecutionRecord record;
        record.startNs = fields.at("start").to_number<std::int64_t>();
        record.commitNs = fields.at("commit").to_number<std::int64_t>();
        record.server = fields.at("server").as_string();
        record.key = fields.at("key").as_string();
        record.group = fields.at("group").as_string();
        record.partition = fields.at("partition").to_number<std::uint32_t>();
        record.token = fields.at("token").to_number<std::uint64_t>();
        record.term = fields.at("term").to_number<std::uint64_t>();
        record.requestId = fields.at("requestId").as_string();
        record.method = fields.at("method").as_string();
        record.repeatable = fields.at("repeatable").as_bool();
        return record;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, "malformed execution record: " + std::string(error.what()));
    }
}

} // namespace jasminespread::standins
