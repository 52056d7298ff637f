#include "settings/yaml_reader.h"

#include "settings/text_values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace jasminespread {
namespace {

std::pair<int, int> lineAndColumn(const Error& error)
{
    return error.position ? std::pair(error.position->line, error.position->column) : std::pair(0, 0);
}

} // namespace

YamlReader::YamlReader(std::string_view text, std::string file)
    : m_file(std::move(file))
{
    try {
        m_root = YAML::Load(std::string(text));
        m_parsed = m_root.IsMap();
        if (!m_parsed) {
            addError(m_root.Mark(), "", "the document is not a map; write it as \"field: value\" lines");
        }
    } catch (const YAML::Exception& e) {
        addError(e.mark, "", "not valid YAML: " + e.msg + "; correct the syntax at this position");
    }
}

void YamlReader::reportAt(const std::string& path, const std::string& message)
{
    // The position is that of the field itself or, when it is absent, of the nearest field around it.
    std::optional<YAML::Mark> mark;
    for (std::string around = path; !around.empty();) {
        if (m_unreadablePaths.contains(around)) {
            return;
        }
        const std::map<std::string, YAML::Mark>::const_iterator it = m_marks.find(around);
        if (!mark && it != m_marks.end()) {
            mark = it->second;
        }
        const std::size_t cut = around.find_last_of(".[");
        around.resize(cut == std::string::npos ? 0 : cut);
    }
    addError(mark.value_or(m_root.Mark()), path, message);
}

std::vector<Error> YamlReader::errors() const
{
    std::vector<Error> sorted = m_errors;
    std::stable_sort(sorted.begin(), sorted.end(),
        [](const Error& a, const Error& b) { return lineAndColumn(a) < lineAndColumn(b); });
    return sorted;
}

void YamlReader::read(const YAML::Node& node, const std::string& path, std::string& value)
{
    if (std::optional<std::string> text = scalar(node, path)) {
        value = std::move(*text);
    }
}

template <typename Integer>
void YamlReader::readInteger(const YAML::Node& node, const std::string& path, Integer& value)
{
    const std::optional<std::string> text = scalar(node, path);
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
    const std::optional<std::string> text = scalar(node, path);
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
    const std::optional<std::string> text = scalar(node, path);
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
    const std::optional<std::string> text = scalar(node, path);
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
        reportUnreadable(node.Mark(), path, "is not a map; write it as \"field: value\" lines");
        return fields;
    }
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        if (!it->first.IsScalar()) {
            addError(it->first.Mark(), path, "has a field name that is not text; use a plain name");
            continue;
        }
        const std::string name = it->first.Scalar();
        const std::string fieldPath = join(path, name);
        if (!fields.emplace(name, it->second).second) {
            addError(it->first.Mark(), fieldPath,
                "appears twice, first in line " + std::to_string(m_marks[fieldPath].line + 1) + "; keep one of them");
            continue;
        }
        m_marks[fieldPath] = it->first.Mark();
    }
    return fields;
}

bool YamlReader::isSequence(const YAML::Node& node, const std::string& path)
{
    if (!node.IsSequence()) {
        reportUnreadable(node.Mark(), path, "is not a list; write \"- \" before each item, or [] for an empty list");
        return false;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        m_marks[path + "[" + std::to_string(i) + "]"] = node[i].Mark();
    }
    return true;
}

std::optional<std::string> YamlReader::scalar(const YAML::Node& node, const std::string& path)
{
    if (node.IsNull()) {
        // The library places an absent value at the next token, so the position is that of the field's name.
        const std::map<std::string, YAML::Mark>::const_iterator it = m_marks.find(path);
        reportUnreadable(
            it == m_marks.end() ? node.Mark() : it->second, path, "has no value; give one or remove the field");
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        reportUnreadable(node.Mark(), path, "is a map or a list; give a single value");
        return std::nullopt;
    }
    m_marks[path] = node.Mark();
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

void YamlReader::reportUnreadable(const YAML::Mark& mark, const std::string& path, const std::string& message)
{
    m_unreadablePaths.insert(path);
    addError(mark, path, message);
}

void YamlReader::reportValue(
    const YAML::Node& node, const std::string& path, const std::string& value, const std::string& message)
{
    reportUnreadable(node.Mark(), path, "has the value \"" + excerpt(value) + "\", which " + message);
}

void YamlReader::reportMissing(const YAML::Node& node, const std::string& path)
{
    reportUnreadable(node.Mark(), path, "is missing; add it");
}

void YamlReader::reportUnknown(const std::string& path, const std::string& known)
{
    addError(m_marks[path], path, "is unknown; remove it or use one of: " + known);
}

std::string YamlReader::join(const std::string& path, std::string_view name)
{
    return path.empty() ? std::string(name) : path + "." + std::string(name);
}

} // namespace jasminespread
