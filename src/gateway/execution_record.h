#pragma once

#include <jasminespread/enum_names.h>

#include <array>
#include <cstdint>
#include <string>

namespace jasminespread {

/// Why it is certain that a dispatch of a request has not been executed and never will be.
enum class NotRunProof : std::uint8_t {
    NotSent, ///< No byte of it was written.
    Stated ///< The server that got it states so.
};

inline constexpr std::array<EnumName<NotRunProof>, 2> notRunProofNames {{
    {NotRunProof::NotSent, "not-sent"},
    {NotRunProof::Stated, "stated"},
}};

/// Whether an answer with this HTTP status promises that the request has not been executed and never will be.
[[nodiscard]] constexpr bool promisesNotRun(unsigned status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// What is known of whether a request was executed. A dispatch may have been executed until there is proof of the
/// opposite. Not thread-safe.
class ExecutionRecord {
public:
    /// The request is about to be sent to a server.
    void onDispatched() noexcept { ++m_dispatchCount; }
    /// One of its dispatches was proven not to be executed. Precondition: called at most once for each dispatch.
    void onNotRun(NotRunProof proof) noexcept { ++m_proofCounts.at(static_cast<std::size_t>(proof)); }
    [[nodiscard]] bool mayHaveRun() const noexcept;
    /// Text for logs: the number of dispatches, and how many of them each proof covers.
    [[nodiscard]] std::string summary() const;

private:
    std::uint32_t m_dispatchCount = 0;
    std::array<std::uint32_t, notRunProofNames.size()> m_proofCounts {};
};

} // namespace jasminespread
