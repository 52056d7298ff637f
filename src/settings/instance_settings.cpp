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

constexpr std::uint32_t largestWorkerCount = 64;
constexpr std::uint64_t largestMaxBodyBytes = 67'108'864; // Each request body is buffered in memory as a whole.

const std::string invalidAddressMessage = "is not an IP address and port; write it as 127.0.0.1:8080";

void checkAddress(YamlReader& reader, const std::string& path, const std::string& address)
{
    if (!isIpAddressAndPort(address)) {
        reader.reportError(path, "has the value \"" + address + "\", which " + invalidAddressMessage);
    }
}

void checkNotEmpty(YamlReader& reader, const std::string& path, const std::string& fieldValue)
{
    if (fieldValue.empty()) {
        reader.reportError(path, "is empty; set a name");
    }
}

/// Reports durations that would disable timers or that the protocols cannot encode.
void checkDurations(YamlReader& reader, const InstanceSettings& settings)
{
    constexpr Milliseconds shortestDuration {1};
    constexpr Milliseconds longestDuration {3'600'000};
    visitFields(settings, [&](std::string_view name, const auto& member, FieldPresence) {
        if constexpr (std::same_as<std::remove_cvref_t<decltype(member)>, Milliseconds>) {
            const bool isZeroAllowed = name == "driftMargin" || name == "clockSkewMargin";
            if ((member < shortestDuration && !isZeroAllowed) || member > longestDuration) {
                reader.reportError(std::string(name),
                    "has the value \"" + formatDuration(member)
                        + "\", which is outside 1ms to 1h; choose a value in this range");
            }
        }
    });
    if (settings.suspectAfter < 2 * settings.heartbeatInterval) {
        reader.reportError("suspectAfter",
            "is shorter than two heartbeat intervals, so that one lost heartbeat would look like a lost peer; increase "
            "it "
            "or reduce heartbeatInterval");
    }
    if (settings.thirdPartyAfter <= settings.suspectAfter) {
        reader.reportError("thirdPartyAfter",
            "is not longer than suspectAfter, so that a third instance would compete with the standby to take over; "
            "increase it");
    }
}

void checkCounts(YamlReader& reader, const InstanceSettings& settings)
{
    if (settings.workers == 0 || settings.workers > largestWorkerCount) {
        reader.reportError("workers",
            "has the value \"" + std::to_string(settings.workers) + "\", which is outside 1 to "
                + std::to_string(largestWorkerCount) + "; choose a value in this range");
    }
    if (settings.maxBodyBytes == 0 || settings.maxBodyBytes > largestMaxBodyBytes) {
        reader.reportError("maxBodyBytes",
            "has the value \"" + std::to_string(settings.maxBodyBytes) + "\", which is outside 1 to "
                + std::to_string(largestMaxBodyBytes) + "; choose a value in this range");
    }
    const std::array<std::pair<const char*, std::uint32_t>, 3> countsAboveZero {{
        {"windowEntries", settings.windowEntries},
        {"queueLimit", settings.queueLimit},
        {"maxConcurrentRequests", settings.maxConcurrentRequests},
    }};
    for (const auto& [name, value] : countsAboveZero) {
        if (value == 0) {
            reader.reportError(name, "has the value \"0\", with which every request would be refused; set at least 1");
        }
    }
    if (settings.retryBudget < 0 || settings.retryBudget > 1) {
        reader.reportError(
            "retryBudget", "is outside 0 to 1; write retries as a share of first attempts, for example 0.1");
    }
}

void checkPlatformUrl(YamlReader& reader, const std::string& url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme) || !isIpAddressAndPort(std::string_view(url).substr(scheme.size()))) {
        reader.reportError("platformUrl",
            "has the value \"" + url + "\", which is not an HTTP URL with IP address and port; write it as "
                + "http://127.0.0.1:9000");
    }
}

void checkSettings(YamlReader& reader, const InstanceSettings& settings)
{
    checkNotEmpty(reader, "instance", settings.instance);
    checkNotEmpty(reader, "region", settings.region);
    checkNotEmpty(reader, "failureDomain", settings.failureDomain);
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
        reader.reportError("logLevel",
            "has the value \"" + settings.logLevel + "\", which is not one of: debug, info, warning, error");
    }
}

} // namespace

Result<InstanceSettings> parseInstanceSettings(std::string_view yaml, const std::string& file)
{
    YamlReader reader(yaml, file);
    InstanceSettings settings;
    reader.readDocument(settings);
    if (reader.hasRootMap()) {
        checkSettings(reader, settings);
    }
    const std::vector<Error> errors = reader.errors();
    if (errors.empty()) {
        return settings;
    }
    // A Result holds a single error, so the messages of the others are appended to the first one, one per line.
    Error combined = errors.front();
    for (std::size_t i = 1; i < errors.size(); ++i) {
        combined.message += "\n" + describe(errors[i]);
    }
    return fail(combined.kind, combined.message, combined.position);
}

Result<InstanceSettings> loadInstanceSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return fail(ErrorKind::NotFound,
            "cannot read the settings file \"" + path + "\": " + std::strerror(errno)
                + "; check the path and the permissions of the file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseInstanceSettings(text.str(), path);
}

} // namespace jasminespread
