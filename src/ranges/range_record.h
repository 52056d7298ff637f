#pragma once

#include "ranges/key_range.h"

#include <jasminespread/error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Name of the stored object that says which instance grants key ranges.
inline constexpr std::string_view leaderRecordName = "leader";

/// Which instance grants key ranges. Changed only by conditional writes, with a higher term each time.
struct LeaderRecord {
    std::uint64_t term = 0;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Differs for each start of the process.
    std::string address; ///< Control address.
    std::vector<std::string> unconfirmed; ///< Instances that led before and may not have stopped granting.

    bool operator==(const LeaderRecord&) const = default;
};

/// One life of a server that may hold a range, and where it can be told to release it.
struct RangeHolder {
    ServerIdentity life;
    std::string address;

    bool operator==(const RangeHolder&) const = default;
};

struct RecordedRange {
    KeyRange range;
    std::vector<RangeHolder> holders; ///< Every server that may hold it; the last one is meant to.

    bool operator==(const RecordedRange&) const = default;
};

/// Holders of all keys of one service. A server is recorded before it gets its first grant of a range.
struct RangesRecord {
    std::uint64_t term = 0; ///< Of the leader that wrote it.
    std::vector<RecordedRange> ranges; ///< In order, without gaps.

    bool operator==(const RangesRecord&) const = default;
};

/// Name of the stored object with the ranges of @p service. Thread-safe.
[[nodiscard]] std::string rangesRecordName(std::string_view service);

/// @name JSON form
/// The parse functions fail with InvalidInput. Thread-safe.
/// @{
[[nodiscard]] std::string encodeLeaderRecord(const LeaderRecord& record);
[[nodiscard]] Result<LeaderRecord> parseLeaderRecord(std::string_view text);
[[nodiscard]] std::string encodeRangesRecord(const RangesRecord& record);
[[nodiscard]] Result<RangesRecord> parseRangesRecord(std::string_view text);
/// @}

} // namespace jasminespread
