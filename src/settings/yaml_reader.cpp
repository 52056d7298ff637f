#include "settings/yaml_reader.h"

#include "settings/text_values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminespread {
namespace {

std::pair<int, int> lineAndColumnOf(const Error& error)
{
    return error.position ? std::pair(error.position->line, error.position->column) : std::pair(0, 0);
}

} // namespace

YamlReader::YamlReader(std::string_view text, std::string file)
    : m_file(std::move(file))
{
    try {
        m_root = YAML::Load(std::string(text));
        m_hasRootMap = m_root.IsMap();
        if (!m_hasRootMap) {
            addError(m_root.Mark(), "", "the document is not a map; write it as \"field: value\" lines");
        }
    } catch (const YAML::Exception& e) {
        addError(e.mark, "", "not valid YAML: " + e.msg + "; correct the syntax at this position");
    }
}

void YamlReader::reportError(const std::string& path, const std::string& message)
{
    // Uses the position of the field itself or, if it is absent, of the closest field that contains it.
    std::optional<YAML::Mark> mark;
    for (std::string enclosingPath = path; !enclosingPath.empty();) {
        if (m_invalidPaths.contains(enclosingPath)) {
            return;
        }
        const std::map<std::string, YAML::Mark>::const_iterator it = m_marksByPath.find(enclosingPath);
        if (!mark && it != m_marksByPath.end()) {
            mark = it->second;
        }
        const std::size_t separator = enclosingPath.find_last_of(".[");
        enclosingPath.resize(separator == std::string::npos ? 0 : separator);
    }
    addError(mark.value_or(m_root.Mark()), path, message);
}

std::vector<Error> YamlReader::errors() const
{
    std::vector<Error> sorted = m_errors;
    std::stable_sort(sorted.begin(), sorted.end(),
        [](const Error& a, const Error& b) { return lineAndColumnOf(a) < lineAndColumnOf(b); });
    return sorted;
}

void YamlReader::read(const YAML::Node& node, const std::string& path, std::string& value)
{
    if (std::optional<std::string> text = readScalar(node, path)) {
        value = std::move(*text);
    }
}

template <typename Integer>
void YamlReader::readInteger(const YAML::Node& node, const std::string& path, Integer& value)
{
    const std::optional<std::string> text = readScalar(node, path);
    if (!text) {
        return;
    }
    Integer number = 0;
    const char* end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        reportValue(node, path, *text,
            "is not a whole number from 0 to " + std::to_string(std::numeric_limits<Integer>::max())
                + "; write digits only");
        return;
    }
    value = number;
}

void YamlReader::read(const YAML::Node& node, const std::string& path, std::uint32_t& value)
{
    readInteger(node, path, value);
}

void YamlReader::read(const YAML::Node& node, const std::string& path, std::uint64_t& value)
{
    readInteger(node, path, value);
}

void YamlReader::read(const YAML::Node& node, const std::string& path, double& value)
{
    const std::optional<std::string> text = readScalar(node, path);
    if (!text) {
        return;
    }
    double number = 0;
    const char* end = text->data() + text->size();
    const std::from_chars_result parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number)) {
        reportValue(node, path, *text, "is not a number; write it as 0.99");
        return;
    }
    value = number;
}

void YamlReader::read(const YAML::Node& node, const std::string& path, Milliseconds& value)
{
    const std::optional<std::string> text = readScalar(node, path);
    if (!text) {
        return;
    }
    const std::optional<Milliseconds> duration = parseDuration(*text);
    if (!duration) {
        reportValue(node, path, *text, "is not a duration; write a whole number and a unit: 200ms, 2s, 5m or 2h");
        return;
    }
    value = *duration;
}

void YamlReader::read(const YAML::Node& node, const std::string& path, WallTime& value)
{
    const std::optional<std::string> text = readScalar(node, path);
    if (!text) {
        return;
    }
    const std::optional<WallTime> time = parseUtcTime(*text);
    if (!time) {
        reportValue(node, path, *text, "is not a time in UTC; write it as 2026-12-04T18:30:00Z");
        return;
    }
    value = *time;
}

YamlReader::Fields YamlReader::collectFields(const YAML::Node& node, const std::string& path)
{
    Fields fields;
    if (!node.IsMap()) {
        reportInvalid(node.Mark(), path, "is not a map; write it as \"field: value\" lines");
        return fields;
    }
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        if (!it->first.IsScalar()) {
            addError(it->first.Mark(), path, "has a field name that is not text; use a plain name");
            continue;
        }
        const std::string name = it->first.Scalar();
        const std::string fieldPath = joinPath(path, name);
        if (!fields.emplace(name, it->second).second) {
            addError(it->first.Mark(), fieldPath,
                "appears twice, first in line " + std::to_string(m_marksByPath[fieldPath].line + 1)
                    + "; keep one of them");
            continue;
        }
        m_marksByPath[fieldPath] = it->first.Mark();
    }
    return fields;
}

bool YamlReader::checkSequence(const YAML::Node& node, const std::string& path)
{
    if (!node.IsSequence()) {
        reportInvalid(node.Mark(), path, "is not a list; write \"- \" before each item, or [] for an empty list");
        return false;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        m_marksByPath[path + "[" + std::to_string(i) + "]"] = node[i].Mark();
    }
    return true;
}

std::optional<std::string> YamlReader::readScalar(const YAML::Node& node, const std::string& path)
{
    if (node.IsNull()) {
        // yaml-cpp gives an absent value the position of the next token, so the error is placed at the field's name.
        const std::map<std::string, YAML::Mark>::const_iterator it = m_marksByPath.find(path);
        reportInvalid(
            it == m_marksByPath.end() ? node.Mark() : it->second, path, "has no value; set one or remove the field");
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        reportInvalid(node.Mark(), path, "is a map or a list; write a single value");
        return std::nullopt;
    }
    m_marksByPath[path] = node.Mark();
    return node.Scalar();
}

void YamlReader::addError(const YAML::Mark& mark, const std::string& path, const std::string& message)
{
    SourcePosition position {m_file, 0, 0};
    if (!mark.is_null()) {
        position.line = mark.line + 1;
        position.column = mark.column + 1;
    }
    m_errors.push_back(
        {ErrorKind::InvalidInput, path.empty() ? message : "field \"" + path + "\" " + message, position});
}

void YamlReader::reportInvalid(const YAML::Mark& mark, const std::string& path, const std::string& message)
{
    m_invalidPaths.insert(path);
    addError(mark, path, message);
}

void YamlReader::reportValue(
    const YAML::Node& node, const std::string& path, const std::string& value, const std::string& message)
{
    reportInvalid(node.Mark(), path, "has the value \"" + excerpt(value) + "\", which " + message);
}

void YamlReader::reportMissing(const YAML::Node& node, const std::string& path)
{
    reportInvalid(node.Mark(), path, "is missing; add it");
}

void YamlReader::reportUnknown(const std::string& path, const std::string& knownNames)
{
    addError(m_marksByPath[path], path, "is unknown; remove it or use one of: " + knownNames);
}

std::string YamlReader::joinPath(const std::string& path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + "." + std::string(name);
}

} // namespace jasminespread
