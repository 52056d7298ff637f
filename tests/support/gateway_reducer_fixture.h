#pragma once

#include "gateway/gateway_reducer.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace jasminespread {

/// An instance in the failure domain "domain-a" of the region "west", with the pooled service "ledger", the keyed
/// service "planner" and one route for each kind of request.
class GatewayReducerTest : public testing::Test {
protected:
    GatewayReducerTest()
        : m_reducer({"domain-a", "west", {0.2, std::chrono::seconds(10), 100}}, 7)
    {
        configure(1, 2);
        list({server("near", "domain-a", "west"), server("far", "domain-c", "east")});
        (void)apply(InstanceCountChanged {1});
    }

    void configure(std::uint64_t version, std::uint32_t attempts)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = version;
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, Milliseconds(0)};
        configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, Milliseconds(0)};
        configuration->routes.push_back(route("read", "/read/", "ledger", Repeatability::Idempotent, attempts));
        configuration->routes.push_back(route("order", "/order/", "ledger", Repeatability::NonIdempotent, attempts));
        configuration->routes.push_back(route("plan", "/plan/", "planner", Repeatability::Idempotent, attempts));
        (void)apply(GatewayConfigured {configuration});
    }

    static HostRoute route(const std::string& name, const std::string& prefix, const std::string& service,
        Repeatability repeatability, std::uint32_t attempts)
    {
        HostRoute route;
        route.name = name;
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.repeatability = repeatability;
        route.timeout = Milliseconds(1000);
        route.latencyObjective = Milliseconds(400);
        route.maxAttempts = attempts;
        route.targets = {{service, 1}};
        return route;
    }

    static ListedServer server(const std::string& id, const std::string& domain, const std::string& region)
    {
        ListedServer listed;
        listed.identity = {id, 1};
        listed.service = "ledger";
        listed.address = "10.0.0.1:80";
        listed.failureDomain = domain;
        listed.region = region;
        listed.slots = 6;
        return listed;
    }

    void list(ServerList servers, std::optional<Milliseconds> maxChangeAge = Milliseconds(0))
    {
        (void)apply(ServersListed {std::make_shared<const ServerList>(std::move(servers)), maxChangeAge});
    }

    GatewayEffects apply(GatewayEvent event) { return m_reducer.reduce({m_now, std::move(event)}); }

    GatewayEffects sendRequest(
        std::uint64_t caller, const std::string& path, std::optional<std::uint16_t> key = std::nullopt)
    {
        GatewayRequest request;
        request.id = "r" + std::to_string(caller);
        request.host = "a.example";
        request.method = "GET";
        request.path = path;
        request.target = path;
        request.timeLeft = Milliseconds(800);
        request.key = key;
        return apply(RequestReceived {caller, std::move(request)});
    }

    template <typename T> static const T* find(const GatewayEffects& effects)
    {
        for (const GatewayEffect& effect : effects) {
            if (const T* found = std::get_if<T>(&effect)) {
                return found;
            }
        }
        return nullptr;
    }

    static ServerAnswer answer(unsigned status, Execution execution = Execution::MayHaveRun)
    {
        ServerAnswer answer;
        answer.status = status;
        answer.body = "whole";
        answer.execution = execution;
        return answer;
    }

    MonotonicTime m_now {std::chrono::hours(1)};
    GatewayReducer m_reducer;
};

} // namespace jasminespread
