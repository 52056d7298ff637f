#include <object_table.h>

namespace jasminespread::standins {

ObjectTable::Outcome ObjectTable::put(
    const std::string& kind, const std::string& name, std::optional<std::uint64_t> expected, const std::string& value)
{
    const Object* current = find(kind, name);
    if (expected && *expected != (current == nullptr ? 0 : current->version)) {
        return Outcome::Conflict;
    }
    m_kinds[kind][name] = {++m_version, value};
    return Outcome::Written;
}

const ObjectTable::Object* ObjectTable::find(const std::string& kind, const std::string& name) const
{
    const auto objects = m_kinds.find(kind);
    if (objects == m_kinds.end()) {
        return nullptr;
    }
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? nullptr : &object->second;
}

std::vector<ObjectTable::Row> ObjectTable::list(const std::string& kind, std::uint64_t after) const
{
    std::vector<Row> rows;
    const auto objects = m_kinds.find(kind);
    if (objects == m_kinds.end()) {
        return rows;
    }
    for (const auto& [name, object] : objects->second) {
        if (object.version > after) {
            rows.push_back({name, object});
        }
    }
    return rows;
}

} // namespace jasminespread::standins
