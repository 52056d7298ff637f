#include "settings/instance_settings_fields.h"
#include "settings/text_values.h"
#include "settings/yaml_reader.h"

#include <jasminespread/log_event.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace jasminespread {
namespace {

constexpr std::uint32_t maxWorkers = 64;
constexpr std::uint64_t maxBodyLimit = 67'108'864; // Bodies are buffered whole.

const std::string addressRemedy = "is not an IP number and port; write it as 127.0.0.1:8080";

void checkAddress(YamlReader& reader, const std::string& path, const std::string& address)
{
    if (!isIpAddressAndPort(address)) {
        reader.reportAt(path, "has the value \"" + address + "\", which " + addressRemedy);
    }
}

void checkName(YamlReader& reader, const std::string& path, const std::string& name)
{
    if (name.empty()) {
        reader.reportAt(path, "is empty; give a name");
    }
}

/// Reports durations that would stop timers or exceed what the protocols can express.
void checkDurations(YamlReader& reader, const InstanceSettings& settings)
{
    constexpr Milliseconds shortest {1};
    constexpr Milliseconds longest {3'600'000};
    visitFields(settings, [&](std::string_view name, const auto& member, FieldPresence) {
        if constexpr (std::same_as<std::remove_cvref_t<decltype(member)>, Milliseconds>) {
            const bool zeroAllowed = name == "driftMargin" || name == "clockSkewMargin";
            if ((member < shortest && !zeroAllowed) || member > longest) {
                reader.reportAt(std::string(name),
                    "has the value \"" + formatDuration(member)
                        + "\", which is outside 1ms to 1h; choose a value inside");
            }
        }
    });
    if (settings.suspectAfter < 2 * settings.heartbeatInterval) {
        reader.reportAt("suspectAfter",
            "is shorter than two heartbeat intervals, so that one lost heartbeat would look like a lost peer; raise it "
            "or lower heartbeatInterval");
    }
    if (settings.thirdPartyAfter <= settings.suspectAfter) {
        reader.reportAt("thirdPartyAfter",
            "is not longer than suspectAfter, so that a third instance would compete with the standby; raise it");
    }
}

void checkCounts(YamlReader& reader, const InstanceSettings& settings)
{
    if (settings.workers == 0 || settings.workers > maxWorkers) {
        reader.reportAt("workers",
            "has the value \"" + std::to_string(settings.workers) + "\", which is outside 1 to "
                + std::to_string(maxWorkers) + "; choose a value inside");
    }
    if (settings.maxBodyBytes == 0 || settings.maxBodyBytes > maxBodyLimit) {
        reader.reportAt("maxBodyBytes",
            "has the value \"" + std::to_string(settings.maxBodyBytes) + "\", which is outside 1 to "
                + std::to_string(maxBodyLimit) + "; choose a value inside");
    }
    const std::array<std::pair<const char*, std::uint32_t>, 3> positive {{
        {"windowEntries", settings.windowEntries},
        {"queueLimit", settings.queueLimit},
        {"maxConcurrentRequests", settings.maxConcurrentRequests},
    }};
    for (const auto& [name, value] : positive) {
        if (value == 0) {
            reader.reportAt(name, "has the value \"0\", with which no request would be accepted; choose at least 1");
        }
    }
    if (settings.retryBudget < 0 || settings.retryBudget > 1) {
        reader.reportAt("retryBudget", "is outside 0 to 1; write a share of the fresh requests, for example 0.1");
    }
}

void checkPlatformUrl(YamlReader& reader, const std::string& url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme) || !isIpAddressAndPort(std::string_view(url).substr(scheme.size()))) {
        reader.reportAt("platformUrl",
            "has the value \"" + url + "\", which is not an HTTP URL with IP number and port; write it as "
                + "http://127.0.0.1:9000");
    }
}

void checkSettings(YamlReader& reader, const InstanceSettings& settings)
{
    checkName(reader, "instance", settings.instance);
    checkName(reader, "region", settings.region);
    checkName(reader, "failureDomain", settings.failureDomain);
    checkAddress(reader, "callerAddress", settings.callerAddress);
    checkAddress(reader, "operatorAddress", settings.operatorAddress);
    checkAddress(reader, "controlAddress", settings.controlAddress);
    checkAddress(reader, "forwardAddress", settings.forwardAddress);
    checkPlatformUrl(reader, settings.platformUrl);
    for (const auto& [peer, addresses] : settings.addressOverrides) {
        checkAddress(reader, "addressOverrides." + peer + ".control", addresses.control);
        checkAddress(reader, "addressOverrides." + peer + ".forward", addresses.forward);
    }
    checkDurations(reader, settings);
    checkCounts(reader, settings);
    if (!enumValue(logLevelNames, settings.logLevel)) {
        reader.reportAt("logLevel",
            "has the value \"" + settings.logLevel + "\", which is not one of: debug, info, warning, error");
    }
}

} // namespace

Result<InstanceSettings> parseInstanceSettings(std::string_view yaml, const std::string& file)
{
    YamlReader reader(yaml, file);
    InstanceSettings settings;
    reader.readDocument(settings);
    if (reader.parsed()) {
        checkSettings(reader, settings);
    }
    const std::vector<Error> errors = reader.errors();
    if (errors.empty()) {
        return settings;
    }
    // A Result carries one error: the first one, with the others as further lines of its message.
    Error all = errors.front();
    for (std::size_t i = 1; i < errors.size(); ++i) {
        all.message += "\n" + describe(errors[i]);
    }
    return fail(all.kind, all.message, all.position);
}

Result<InstanceSettings> loadInstanceSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ErrorKind::NotFound,
            "cannot read the settings file \"" + path + "\": " + std::strerror(errno) + "; check path and permissions");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseInstanceSettings(text.str(), path);
}

} // namespace jasminespread
