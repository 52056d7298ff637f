#include <object_table.h>

namespace jasminespread::standins {

ObjectTable::WriteOutcome ObjectTable::put(const std::string& kind, const std::string& name,
    std::optional<std::uint64_t> expectedVersion, const std::string& value)
{
    const Object* current = find(kind, name);
    if (expectedVersion && *expectedVersion != (current == nullptr ? 0 : current->version)) {
        return WriteOutcome::Conflict;
    }
    m_objectsByKind[kind][name] = {++m_latestVersion, value};
    return WriteOutcome::Written;
}

const ObjectTable::Object* ObjectTable::find(const std::string& kind, const std::string& name) const
{
    const auto objects = m_objectsByKind.find(kind);
    if (objects == m_objectsByKind.end()) {
        return nullptr;
    }
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? nullptr : &object->second;
}

std::vector<ObjectTable::NamedObject> ObjectTable::list(const std::string& kind, std::uint64_t afterVersion) const
{
    std::vector<NamedObject> namedObjects;
    const auto objects = m_objectsByKind.find(kind);
    if (objects == m_objectsByKind.end()) {
        return namedObjects;
    }
    for (const auto& [name, object] : objects->second) {
        if (object.version > afterVersion) {
            namedObjects.push_back({name, object});
        }
    }
    return namedObjects;
}

} // namespace jasminespread::standins
