#include <jasminespread/request_id.h>

#include <cstring>
#include <random>

namespace jasminespread {
namespace {

constexpr std::size_t textLength = 36;
constexpr std::uint8_t versionSeven = 0x70;
constexpr std::uint8_t variantBits = 0x80;

std::optional<std::uint8_t> hexDigit(char c) noexcept
{
    if (c >= '0' && c <= '9') {
        return static_cast<std::uint8_t>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<std::uint8_t>(c - 'a' + 10);
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<std::uint8_t>(c - 'A' + 10);
    }
    return std::nullopt;
}

bool isDashPosition(std::size_t i) noexcept { return i == 8 || i == 13 || i == 18 || i == 23; }

std::mt19937_64 seededGenerator()
{
    std::random_device device;
    std::seed_seq seed {device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

} // namespace

std::optional<RequestId> RequestId::parse(std::string_view text) noexcept
{
    if (text.size() != textLength) {
        return std::nullopt;
    }
    Bytes bytes {};
    std::size_t nibble = 0;
    for (std::size_t i = 0; i < textLength; ++i) {
        if (isDashPosition(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const std::optional<std::uint8_t> digit = hexDigit(text[i]);
        if (!digit) {
            return std::nullopt;
        }
        const unsigned shift = nibble % 2 == 0 ? 4 : 0;
        bytes[nibble / 2] = static_cast<std::uint8_t>(bytes[nibble / 2] | (*digit << shift));
        ++nibble;
    }
    const bool isVersionSeven = (bytes[6] & 0xf0) == versionSeven && (bytes[8] & 0xc0) == variantBits;
    if (!isVersionSeven) {
        return std::nullopt;
    }
    return RequestId(bytes);
}

RequestId RequestId::generate(WallTime now)
{
    thread_local std::mt19937_64 generator = seededGenerator();
    Bytes bytes {};
    const std::uint64_t random[2] = {generator(), generator()};
    std::memcpy(bytes.data(), random, sizeof random);
    const auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    for (std::size_t i = 0; i < 6; ++i) {
        bytes[i] = static_cast<std::uint8_t>(milliseconds >> (8 * (5 - i)));
    }
    bytes[6] = static_cast<std::uint8_t>((bytes[6] & 0x0f) | versionSeven);
    bytes[8] = static_cast<std::uint8_t>((bytes[8] & 0x3f) | variantBits);
    return RequestId(bytes);
}

WallTime RequestId::issuedAt() const noexcept
{
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < 6; ++i) {
        milliseconds = (milliseconds << 8) | m_bytes[i];
    }
    return WallTime(Milliseconds(milliseconds));
}

std::string RequestId::text() const
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(textLength);
    for (std::size_t i = 0; i < m_bytes.size(); ++i) {
        if (isDashPosition(text.size())) {
            text += '-';
        }
        text += digits[m_bytes[i] >> 4];
        text += digits[m_bytes[i] & 0x0f];
    }
    return text;
}

std::size_t RequestIdHash::operator()(const RequestId& id) const noexcept
{
    std::uint64_t hash = 0;
    std::memcpy(&hash, id.bytes().data() + 8, sizeof hash);
    return hash;
}

} // namespace jasminespread
