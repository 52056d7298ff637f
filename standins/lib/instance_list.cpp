#include <instance_list.h>

#include <jasminespread/instance_entry.h>

namespace jasminespread::standins {

namespace json = boost::json;

namespace {

std::string stringField(const json::object& row, std::string_view name)
{
    const json::value* value = row.if_contains(name);
    return value == nullptr || !value->is_string() ? std::string() : std::string(value->get_string());
}

} // namespace

Result<void> InstanceList::load(std::string_view text)
{
    boost::system::error_code ec;
    const json::value document = json::parse(text, ec);
    if (ec || !document.is_array()) {
        return fail(ErrorKind::InvalidInput, "the instance list is not a JSON array of rows");
    }
    m_history = {Snapshot {MonotonicTime::min(), {}}};
    for (const json::value& element : document.get_array()) {
        const json::object row = element.is_object() ? element.get_object() : json::object {};
        const std::string id = stringField(row, "id");
        if (id.empty()) {
            return fail(ErrorKind::InvalidInput, "a row of the instance list has no id");
        }
        BOOST_LEAF_CHECK(put(id, row, MonotonicTime::min()));
    }
    return {};
}

Result<void> InstanceList::put(const std::string& id, json::object row, MonotonicTime now)
{
    if (!enumValue(instanceRoleNames, stringField(row, "role"))
        || !enumValue(listedStateNames, stringField(row, "state"))) {
        return fail(ErrorKind::InvalidInput,
            "instance " + id + " needs a role (entry or backend) and a state (live, leaving or gone)");
    }
    row["id"] = id;
    Rows rows = m_history.back().rows;
    rows[id] = std::move(row);
    m_history.push_back({now, std::move(rows)});
    return {};
}

bool InstanceList::remove(const std::string& id, MonotonicTime now)
{
    Rows rows = m_history.back().rows;
    if (rows.erase(id) == 0) {
        return false;
    }
    m_history.push_back({now, std::move(rows)});
    return true;
}

json::array InstanceList::visibleRows(MonotonicTime now)
{
    while (m_history.size() > 1 && m_history[1].validFrom <= now - m_lag) {
        m_history.pop_front();
    }
    json::array rows;
    for (const auto& [id, row] : m_history.front().rows) {
        rows.push_back(row);
    }
    return rows;
}

} // namespace jasminespread::standins
