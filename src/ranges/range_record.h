#pragma once

#include "ranges/key_range.h"

#include <jasminespread/error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Name of the stored object that names the leader, which is the instance that grants key ranges.
inline constexpr std::string_view leaderRecordName = "leader";

/// Entry of LeaderRecord::unconfirmedLeaders for leaders whose records were lost when the store was restored. It is
/// never confirmed, so it stays until the leader leases of all of them have expired.
inline constexpr std::string_view unknownLeaders = "(unknown)";

/// @name Terms
/// The high bits of a term are the era of the store, so that a term of a new era is above all earlier ones even if no
/// instance remembers them. A fencing token has 24 bits below the term, and a JSON number 53: 9 bits remain for the
/// era.
/// @{
inline constexpr unsigned termBitsInEra = 20;
inline constexpr std::uint64_t maxStoreEra = 511;
[[nodiscard]] constexpr std::uint64_t eraOfTerm(std::uint64_t term) noexcept { return term >> termBitsInEra; }
[[nodiscard]] constexpr std::uint64_t firstTermOf(std::uint64_t era) noexcept { return (era << termBitsInEra) + 1; }
/// @}

/// The leader, which is the instance that grants key ranges. Changed only by conditional writes; each new leader
/// increases the term.
struct LeaderRecord {
    std::uint64_t term = 0;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Unique for each start of the process.
    std::string address; ///< Control address.
    std::vector<std::string> unconfirmedLeaders; ///< Former leaders that may still be granting.

    bool operator==(const LeaderRecord&) const = default;
};

/// A server process that may hold a lease on a range, and the address for grant and release calls.
struct RangeHolder {
    ServerIdentity identity;
    std::string address;

    bool operator==(const RangeHolder&) const = default;
};

struct RecordedRange {
    KeyRange range;
    std::vector<RangeHolder> holders; ///< Every server that may hold a lease on it; the last one is the intended owner.

    bool operator==(const RecordedRange&) const = default;
};

/// Possible holders of all keys of one service. A server is recorded before its first grant of a range is sent.
struct RangesRecord {
    std::uint64_t term = 0; ///< Term of the leader that wrote the record.
    std::vector<RecordedRange> ranges; ///< Sorted by key, without gaps.

    bool operator==(const RangesRecord&) const = default;
};

/// Returns the name of the stored object with the ranges of @p service. Thread-safe.
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
