#include "ranges/range_record.h"

#include <boost/json.hpp>

#include <exception>

namespace jasminespread {
namespace {

namespace json = boost::json;

std::string textOf(const json::value& value) { return std::string(value.as_string()); }

json::array encodeHolders(const std::vector<RangeHolder>& holders)
{
    json::array rows;
    for (const RangeHolder& holder : holders) {
        rows.push_back(
            {{"server", holder.identity.id}, {"born", holder.identity.startedAtUnixMs}, {"address", holder.address}});
    }
    return rows;
}

std::vector<RangeHolder> decodeHolders(const json::value& value)
{
    std::vector<RangeHolder> holders;
    for (const json::value& row : value.as_array()) {
        const json::object& fields = row.as_object();
        holders.push_back({{textOf(fields.at("server")), fields.at("born").to_number<std::uint64_t>()},
            textOf(fields.at("address"))});
    }
    return holders;
}

/// Runs @p decode on the parsed text and converts Boost.JSON exceptions to errors.
template <typename T, typename Decode>
Result<T> parseRecord(std::string_view text, std::string_view what, Decode decode)
{
    try {
        return decode(json::parse(text).as_object());
    } catch (const std::exception& error) {
        return fail(ErrorKind::InvalidInput,
            "the stored " + std::string(what) + " cannot be parsed (" + error.what()
                + "); stop all instances, then delete the object");
    }
}

bool coversAllKeys(const RangesRecord& record)
{
    std::uint32_t next = 0;
    for (const RecordedRange& range : record.ranges) {
        if (range.range.first != next || range.range.last < range.range.first || range.range.last > maxKey) {
            return false;
        }
        next = range.range.last + 1;
    }
    return next == keyCount;
}

} // namespace

std::string rangesRecordName(std::string_view service) { return "ranges-" + std::string(service); }

std::string encodeLeaderRecord(const LeaderRecord& record)
{
    json::array unconfirmed;
    for (const std::string& instance : record.unconfirmedLeaders) {
        unconfirmed.emplace_back(instance);
    }
    return json::serialize(json::object {{"term", record.term}, {"instance", record.instance},
        {"incarnation", std::to_string(record.incarnation)}, {"address", record.address},
        {"unconfirmed", std::move(unconfirmed)}});
}

Result<LeaderRecord> parseLeaderRecord(std::string_view text)
{
    return parseRecord<LeaderRecord>(text, "leader record", [](const json::object& fields) {
        LeaderRecord record {fields.at("term").to_number<std::uint64_t>(), textOf(fields.at("instance")),
            std::stoull(textOf(fields.at("incarnation"))), textOf(fields.at("address")), {}};
        for (const json::value& instance : fields.at("unconfirmed").as_array()) {
            record.unconfirmedLeaders.push_back(textOf(instance));
        }
        return record;
    });
}

std::string encodeRangesRecord(const RangesRecord& record)
{
    json::array rows;
    for (const RecordedRange& range : record.ranges) {
        rows.push_back(
            {{"from", range.range.first}, {"to", range.range.last}, {"holders", encodeHolders(range.holders)}});
    }
    return json::serialize(json::object {{"term", record.term}, {"ranges", std::move(rows)}});
}

Result<RangesRecord> parseRangesRecord(std::string_view text)
{
    Result<RangesRecord> parsed = parseRecord<RangesRecord>(text, "ranges record", [](const json::object& fields) {
        RangesRecord record;
        record.term = fields.at("term").to_number<std::uint64_t>();
        for (const json::value& row : fields.at("ranges").as_array()) {
            const json::object& range = row.as_object();
            record.ranges.push_back(
                {{range.at("from").to_number<std::uint32_t>(), range.at("to").to_number<std::uint32_t>()},
                    decodeHolders(range.at("holders"))});
        }
        return record;
    });
    if (parsed && !coversAllKeys(*parsed)) {
        return fail(ErrorKind::InvalidInput,
            "the stored ranges record does not cover all keys; stop all instances, then delete the object");
    }
    return parsed;
}

} // namespace jasminespread
