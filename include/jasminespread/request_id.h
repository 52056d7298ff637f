#pragma once

#include <jasminespread/time.h>

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminespread {

/// Identifies one request of a caller across all its retries: a UUID of version 7, which carries its time of issue.
/// Value type; concurrent reads are safe.
class RequestId {
public:
    using Bytes = std::array<std::uint8_t, 16>;

    RequestId() noexcept = default;
    explicit RequestId(const Bytes& bytes) noexcept
        : m_bytes(bytes)
    {
    }

    /// Parses the canonical text form. Returns nothing unless it is a UUID of version 7. Thread-safe.
    [[nodiscard]] static std::optional<RequestId> parse(std::string_view text) noexcept;
    /// Makes a new id issued at @p now with random bits from a thread-local generator. Thread-safe.
    [[nodiscard]] static RequestId generate(WallTime now);

    [[nodiscard]] WallTime issuedAt() const noexcept;
    [[nodiscard]] std::string text() const;
    [[nodiscard]] const Bytes& bytes() const noexcept { return m_bytes; }

    // clang-tidy takes the 0 in the rewritten `<` expression for a null pointer.
    auto operator<=>(const RequestId&) const noexcept = default; // NOLINT(modernize-use-nullptr)

private:
    Bytes m_bytes {};
};

struct RequestIdHash {
    [[nodiscard]] std::size_t operator()(const RequestId& id) const noexcept;
};

} // namespace jasminespread
