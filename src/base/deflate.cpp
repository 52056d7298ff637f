#include "base/deflate.h"

#include "base/glib_pointer.h"

#include <gio/gio.h>

#include <array>
#include <cstdint>

namespace jasminespread {
namespace {

constexpr int compressionLevel = 6;
constexpr std::size_t bufferBytes = 16'384;

/// Runs all of @p input through @p converter. Returns nothing on an error or when the output exceeds @p maxBytes.
std::optional<std::string> convert(GConverter* converter, std::string_view input, std::size_t maxBytes)
{
    std::string output;
    std::array<char, bufferBytes> buffer {};
    GConverterResult result = G_CONVERTER_CONVERTED;
    while (result != G_CONVERTER_FINISHED) {
        gsize read = 0;
        gsize written = 0;
        result = g_converter_convert(converter, input.data(), input.size(), buffer.data(), buffer.size(),
            G_CONVERTER_INPUT_AT_END, &read, &written, nullptr);
        if (result == G_CONVERTER_ERROR || output.size() + written > maxBytes) {
            return std::nullopt;
        }
        output.append(buffer.data(), written);
        input.remove_prefix(read);
    }
    return input.empty() ? std::optional(std::move(output)) : std::nullopt;
}

} // namespace

std::string deflate(std::string_view text)
{
    const GObjectPointer<GZlibCompressor> compressor(
        g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, compressionLevel));
    return convert(G_CONVERTER(compressor.get()), text, SIZE_MAX).value_or(std::string());
}

std::optional<std::string> inflate(std::string_view bytes, std::size_t maxBytes)
{
    const GObjectPointer<GZlibDecompressor> decompressor(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW));
    return convert(G_CONVERTER(decompressor.get()), bytes, maxBytes);
}

} // namespace jasminespread
