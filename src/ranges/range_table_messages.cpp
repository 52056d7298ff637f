#include "ranges/range_table_messages.h"

#include "ranges/range_table_changes.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Values of `owners` in a RangeTableView: a range that is being handed over, and the value for the first server.
constexpr std::uint32_t ownerMoving = 1;
constexpr std::uint32_t firstServerIndex = 2;
/// A report may cross a table in transit and still name the older one. After this time the table is assumed to be lost.
constexpr Milliseconds lostTableTimeout {500};
/// Number of retained tables per service; an instance that has one of them is sent only the changes.
constexpr std::size_t retainedTables = 16;

/// @param base version that the instance has; 0: @p routes is the whole table.
wire::RangeTableView encodeTable(const RangeTable& table, std::uint64_t base, const std::vector<RangeRoute>& routes)
{
    wire::RangeTableView view;
    view.set_service(table.service);
    view.set_term(table.term);
    view.set_version(table.version);
    view.set_base_version(base);
    std::map<ServerIdentity, std::uint32_t> indexes;
    for (const RangeRoute& route : routes) {
        std::uint32_t owner = route.moving ? ownerMoving : 0;
        if (!route.owner.id.empty()) {
            const auto [it, added]
                = indexes.try_emplace(route.owner, static_cast<std::uint32_t>(indexes.size()) + firstServerIndex);
            owner = it->second;
            if (added) {
                wire::ServerReference& server = *view.add_servers();
                server.set_id(route.owner.id);
                server.set_born_at(route.owner.startedAtUnixMs);
                server.set_address(route.address);
            }
        }
        if (base != 0) {
            view.add_first_keys(route.range.first);
        }
        view.add_last_keys(route.range.last);
        view.add_owners(owner);
    }
    return view;
}

} // namespace

void RangeTableSender::add(std::shared_ptr<const RangeTable> table)
{
    std::deque<std::shared_ptr<const RangeTable>>& tables = m_tables[table->service];
    tables.push_back(std::move(table));
    if (tables.size() > retainedTables) {
        tables.pop_front();
    }
}

void RangeTableSender::onReport(
    const std::string& instance, const wire::InstanceReport& report, bool isNewProcess, MonotonicTime now)
{
    std::map<std::string, SentTable>& sentTables = m_instances[instance];
    for (const auto& [service, tables] : m_tables) {
        std::uint64_t version = 0;
        for (const wire::RangeTableVersion& table : report.tables()) {
            if (table.service() == service && table.term() == tables.back()->term) {
                version = table.version();
            }
        }
        SentTable& sent = sentTables[service];
        sent.reportedVersion = version;
        const bool isInTransit = version < sent.version && now - sent.sentAt < lostTableTimeout;
        if (!isInTransit || isNewProcess || report.missed_changes()) {
            sent = {version, version, MonotonicTime()};
        }
    }
}

void RangeTableSender::onDropped(const std::string& instance)
{
    const auto sentTables = m_instances.find(instance);
    if (sentTables == m_instances.end()) {
        return;
    }
    for (auto& [service, sent] : sentTables->second) {
        sent = {sent.reportedVersion, sent.reportedVersion, MonotonicTime()};
    }
}

std::vector<wire::RangeTableView> RangeTableSender::takeUpdates(const std::string& instance, MonotonicTime now)
{
    std::vector<wire::RangeTableView> views;
    std::map<std::string, SentTable>& sentTables = m_instances[instance];
    for (const auto& [service, tables] : m_tables) {
        const RangeTable& current = *tables.back();
        SentTable& sent = sentTables[service];
        if (sent.version == current.version) {
            continue;
        }
        const auto base = std::find_if(tables.begin(), tables.end(),
            [&sent](const std::shared_ptr<const RangeTable>& table) { return table->version == sent.version; });
        views.push_back(base == tables.end() ? encodeTable(current, 0, current.routes)
                                             : encodeTable(current, sent.version, changedRoutes(**base, current)));
        sent = {current.version, sent.reportedVersion, now};
    }
    return views;
}

ReceivedTable receiveTable(const wire::RangeTableView& message, const RangeTable* known)
{
    const std::pair<std::uint64_t, std::uint64_t> receivedVersion {message.term(), message.version()};
    if (known != nullptr && receivedVersion <= std::pair(known->term, known->version)) {
        return {TableArrival::Older, nullptr};
    }
    auto table = std::make_shared<RangeTable>();
    table->service = message.service();
    table->term = message.term();
    table->version = message.version();
    std::uint32_t first = 0;
    for (int i = 0; i < message.last_keys_size() && i < message.owners_size(); ++i) {
        RangeRoute& route = table->routes.emplace_back();
        route.range = {i < message.first_keys_size() ? message.first_keys(i) : first, message.last_keys(i)};
        const bool inOrder = first <= route.range.first && route.range.first <= route.range.last;
        if (!inOrder || route.range.last > maxKey) {
            return {TableArrival::Unreadable, nullptr};
        }
        first = route.range.last + 1;
        const std::uint32_t owner = message.owners(i);
        route.moving = owner == ownerMoving;
        if (owner >= firstServerIndex
            && owner - firstServerIndex < static_cast<std::uint32_t>(message.servers_size())) {
            const wire::ServerReference& server = message.servers(static_cast<int>(owner - firstServerIndex));
            route.owner = {server.id(), server.born_at()};
            route.address = server.address();
        }
    }
    if (message.base_version() != 0) {
        if (known == nullptr || known->term != table->term || known->version != message.base_version()) {
            return {TableArrival::BaseMissing, nullptr};
        }
        table->routes = applyRoutes(known->routes, table->routes);
    }
    return {TableArrival::Newer, std::move(table)};
}

} // namespace jasminespread
