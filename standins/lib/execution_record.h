#pragma once

#include <jasminespread/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminespread::standins {

/// One executed request. The backend stand-in appends each as one line of JSON to its record file.
struct ExecutionRecord {
    std::int64_t startNs = 0; ///< Start of execution by CLOCK_MONOTONIC; comparable across the processes of a machine.
    std::int64_t commitNs = 0; ///< Time of the lease check that allowed the commit, by the same clock.
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

/// Encodes @p record as JSON without a line end. Thread-safe.
[[nodiscard]] std::string encodeExecutionRecord(const ExecutionRecord& record);
/// Decodes one line without its line end. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<ExecutionRecord> decodeExecutionRecord(std::string_view line);

} // namespace jasminespread::standins
