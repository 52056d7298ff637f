#include "ctl/adjustment.h"

#include "settings/text_values.h"

#include <algorithm>
#include <charconv>

namespace jasminespread {
namespace {

/// Replaces the first item that satisfies @p matches, or appends @p item if there is none.
template <typename T, typename Predicate> void insertOrReplace(std::vector<T>& items, T item, Predicate&& matches)
{
    const auto it = std::find_if(items.begin(), items.end(), matches);
    if (it == items.end()) {
        items.push_back(std::move(item));
    } else {
        *it = std::move(item);
    }
}

template <typename T, typename Predicate>
Result<void> removeMatching(std::vector<T>& items, const std::string& description, Predicate&& matches)
{
    if (std::erase_if(items, matches) == 0) {
        return fail(
            ErrorKind::InvalidInput, "there is no " + description + "; print the configuration in force with \"show\"");
    }
    return {};
}

Result<void> addStop(Configuration& configuration, const Invocation& invocation)
{
    const std::string& server = invocation.arguments[0];
    const std::optional<WallTime> stopAt = parseUtcTime(invocation.arguments[1]);
    if (!stopAt) {
        return fail(ErrorKind::InvalidInput,
            "\"" + invocation.arguments[1] + "\" is not a UTC time; use the form 2026-12-04T18:30:00Z");
    }
    insertOrReplace(configuration.plannedStops, PlannedStop {server, *stopAt, invocation.drainDuration},
        [&](const PlannedStop& stop) { return stop.server == server; });
    return {};
}

Result<void> addRule(Configuration& configuration, const Invocation& invocation)
{
    const std::string& service = invocation.arguments[0];
    const std::string& text = invocation.arguments[1];
    double load = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), load);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return fail(
            ErrorKind::InvalidInput, "\"" + text + "\" is not a load; use a share of the queue, for example 0.8");
    }
    insertOrReplace(configuration.refusalRules, RefusalRule {service, invocation.workClass, load},
        [&](const RefusalRule& rule) { return rule.service == service && rule.workClass == invocation.workClass; });
    return {};
}

Result<void> addServer(Configuration& configuration, const std::vector<std::string>& arguments)
{
    // A server id never changes its address or failure domain, so adding an existing id is an error.
    for (const BackendServer& server : configuration.servers) {
        if (server.id == arguments[0]) {
            return fail(ErrorKind::InvalidInput,
                "backend server \"" + server.id + "\" is already in the pool of \"" + server.service
                    + "\"; remove it first or choose another id");
        }
    }
    configuration.servers.push_back({arguments[0], arguments[1], arguments[2], arguments[3], arguments[4]});
    return {};
}

Result<void> removeServer(Configuration& configuration, const std::string& id)
{
    BOOST_LEAF_CHECK(removeMatching(configuration.servers, "backend server \"" + id + "\"",
        [&](const BackendServer& server) { return server.id == id; }));
    std::erase_if(configuration.plannedStops, [&](const PlannedStop& stop) { return stop.server == id; });
    for (HotKey& hotKey : configuration.hotKeys) {
        if (hotKey.server == id) {
            hotKey.server.clear();
        }
    }
    return {};
}

Result<void> applyAdjustment(Configuration& configuration, const Invocation& invocation)
{
    const std::vector<std::string>& arguments = invocation.arguments;
    const auto isSameKey
        = [&](const HotKey& hotKey) { return hotKey.service == arguments[0] && hotKey.key == arguments[1]; };
    switch (invocation.command) {
    case Command::HotKeyAdd:
        insertOrReplace(configuration.hotKeys,
            HotKey {arguments[0], arguments[1], arguments.size() > 2 ? arguments[2] : ""}, isSameKey);
        return {};
    case Command::HotKeyRemove:
        return removeMatching(
            configuration.hotKeys, "hot key \"" + arguments[1] + "\" of service \"" + arguments[0] + "\"", isSameKey);
    case Command::StopAdd:
        return addStop(configuration, invocation);
    case Command::StopRemove:
        return removeMatching(configuration.plannedStops, "planned stop of backend server \"" + arguments[0] + "\"",
            [&](const PlannedStop& stop) { return stop.server == arguments[0]; });
    case Command::RuleAdd:
        return addRule(configuration, invocation);
    case Command::RuleRemove:
        return removeMatching(configuration.refusalRules,
            "refusal rule of service \"" + arguments[0] + "\" for work class \"" + invocation.workClass + "\"",
            [&](const RefusalRule& rule) {
                return rule.service == arguments[0] && rule.workClass == invocation.workClass;
            });
    case Command::PoolAdd:
        return addServer(configuration, arguments);
    case Command::PoolRemove:
        return removeServer(configuration, arguments[0]);
    default:
        return fail(ErrorKind::Internal,
            "\"" + std::string(enumName(commandNames, invocation.command)) + "\" does not adjust the configuration");
    }
}

} // namespace

Result<Configuration> adjustConfiguration(const Configuration& current, const Invocation& invocation)
{
    Configuration adjusted = current;
    BOOST_LEAF_CHECK(applyAdjustment(adjusted, invocation));
    const std::vector<Error> errors = checkConfiguration(adjusted);
    if (!errors.empty()) {
        std::string message;
        for (const Error& error : errors) {
            message += (message.empty() ? "" : "\n") + describe(error);
        }
        return fail(ErrorKind::InvalidInput, message);
    }
    return adjusted;
}

} // namespace jasminespread
