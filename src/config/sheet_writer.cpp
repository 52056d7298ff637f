#include "config/configuration_fields.h"
#include "settings/text_values.h"

#include <jasminespread/sheet.h>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace jasminespread {
namespace {

/// Whether the text is read back unchanged when it is written as a plain (unquoted) YAML scalar.
bool isPlainScalar(const std::string& text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.' || c == ':';
    };
    const bool isNull = text == "null" || text == "Null" || text == "NULL";
    return !text.empty() && std::all_of(text.begin(), text.end(), isAllowed) && text.front() != '-'
        && text.front() != ':' && text.back() != ':' && !isNull;
}

void write(YAML::Emitter& out, const std::string& value)
{
    if (!isPlainScalar(value)) {
        out << YAML::DoubleQuoted;
    }
    out << value;
}

void write(YAML::Emitter& out, std::uint32_t value) { out << value; }
void write(YAML::Emitter& out, std::uint64_t value) { out << value; }
void write(YAML::Emitter& out, Milliseconds value) { out << formatDuration(value); }
void write(YAML::Emitter& out, WallTime value) { out << formatUtcTime(value); }

void write(YAML::Emitter& out, double value)
{
    // Writes the shortest text that is read back as the same number.
    std::array<char, 32> buf {};
    const std::to_chars_result written = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    out << std::string(buf.data(), written.ptr);
}

template <typename Enum>
requires std::is_enum_v<Enum>
void write(YAML::Emitter& out, Enum value) { out << std::string(enumName(namesOf(value), value)); }

template <typename T>
requires std::is_aggregate_v<T>
void write(YAML::Emitter& out, const T& value);

template <typename T> void write(YAML::Emitter& out, const std::vector<T>& values)
{
    if (values.empty() || std::same_as<T, std::string>) {
        out << YAML::Flow;
    }
    out << YAML::BeginSeq;
    for (const T& value : values) {
        write(out, value);
    }
    out << YAML::EndSeq;
}

template <typename T>
requires std::is_aggregate_v<T>
void write(YAML::Emitter& out, const T& value)
{
    out << YAML::BeginMap;
    visitFields(value, [&](std::string_view name, const auto& member, FieldPresence presence) {
        if (presence != FieldPresence::SystemAssigned) {
            out << YAML::Key << std::string(name) << YAML::Value;
            write(out, member);
        }
    });
    out << YAML::EndMap;
}

} // namespace

std::string writeSheet(const Configuration& configuration)
{
    YAML::Emitter out;
    write(out, configuration);
    return std::string(out.c_str()) + "\n";
}

} // namespace jasminespread
