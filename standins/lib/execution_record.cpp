#include <execution_record.h>

#include <boost/json.hpp>

namespace jasminespread::standins {

namespace json = boost::json;

std::string encodeExecutionRecord(const ExecutionRecord& record)
{
    return json::serialize(json::object {{"start", record.start}, {"commit", record.commit}, {"server", record.server},
        {"key", record.key}, {"group", record.group}, {"partition", record.partition}, {"token", record.token},
        {"term", record.term}, {"requestId", record.requestId}, {"method", record.method},
        {"repeatable", record.repeatable}});
}

Result<ExecutionRecord> decodeExecutionRecord(std::string_view line)
{
    try {
        const json::value value = json::parse(line);
        const json::object& row = value.as_object();
        ExecutionRecord record;
        record.start = row.at("start").to_number<std::int64_t>();
        record.commit = row.at("commit").to_number<std::int64_t>();
        record.server = row.at("server").as_string();
        record.key = row.at("key").as_string();
        record.group = row.at("group").as_string();
        record.partition = row.at("partition").to_number<std::uint32_t>();
        record.token = row.at("token").to_number<std::uint64_t>();
        record.term = row.at("term").to_number<std::uint64_t>();
        record.requestId = row.at("requestId").as_string();
        record.method = row.at("method").as_string();
        record.repeatable = row.at("repeatable").as_bool();
        return record;
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput, "malformed execution record: " + std::string(error.what()));
    }
}

} // namespace jasminespread::standins
