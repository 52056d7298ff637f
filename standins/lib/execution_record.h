#pragma once

#include <jasminespread/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminespread::standins {

/// One executed request, as backend servers log it: one JSON object a line.
struct ExecutionRecord {
    std::int64_t start = 0; ///< CLOCK_MONOTONIC in nanoseconds; comparable over the processes of a machine.
    std::int64_t commit = 0; ///< Time of the check that allowed the commit.
    std::string server;
    std::string key;
    std::string group;
    std::uint32_t partition = 0;
    std::uint64_t token = 0;
    std::uint64_t term = 0;
    std::string requestId;
    std::string method;
    bool repeatable = false;

    bool operator==(const ExecutionRecord&) const = default;
};

/// Encodes without the line end. Thread-safe.
[[nodiscard]] std::string encodeExecutionRecord(const ExecutionRecord& record);
/// Decodes one line. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<ExecutionRecord> decodeExecutionRecord(std::string_view line);

} // namespace jasminespread::standins
