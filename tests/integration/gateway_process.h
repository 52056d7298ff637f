#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace jasminespread::test {

/// Configuration of the platform with one pooled service "desk" and one keyed service "planner"; @p prefix is the path
/// of the route "change".
inline boost::json::value gatewayConfiguration(std::uint64_t version, const std::string& prefix)
{
    namespace json = boost::json;
    const auto route = [](const std::string& path, const char* kind, const char* service) {
        return json::object {{"host", "a.example"}, {"pathPrefix", path}, {"kind", kind}, {"timeoutMs", 3000},
            {"targetLatencyMs", 600}, {"priority", 1}, {"service", service}, {"maxAttempts", 2}};
    };
    return json::object {{"version", version},
        {"routes",
            {{"read", route("/read/", "idempotent", "desk")}, {"order", route("/order/", "non_idempotent", "desk")},
                {"plan", route("/plan/", "idempotent", "planner")}, {"change", route(prefix, "idempotent", "desk")}}},
        {"services",
            {{"desk", {{"healthPath", "/health"}, {"maxConns", 100}}},
                {"planner", {{"healthPath", "/health"}, {"maxConns", 100}, {"sharded", true}, {"warmS", 2.0}}}}},
        {"limits",
            {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1048576}, {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}};
}

/// Largest resident memory that the process has had, in MB; very large if it has ended.
inline double peakMemoryMb(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stod(line.substr(sizeof("VmHWM:") - 1)) / 1000;
        }
    }
    return 1e9;
}

/// Number of descriptors that the process has open; 0 if it has ended.
inline std::size_t openDescriptors(int pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator begin("/proc/" + std::to_string(pid) + "/fd", ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin, std::filesystem::directory_iterator()));
}

} // namespace jasminespread::test
