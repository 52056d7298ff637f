#pragma once

#include "support/http_peer.h"

#include <jasminespread/backend_transport.h>
#include <jasminespread/time.h>

#include <glib.h>

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace jasminespread::test {

/// Gives each test a main context of its own, which is its thread's default one.
class MainContextFixture : public testing::Test {
protected:
    MainContextFixture()
        : m_context(g_main_context_new())
    {
        g_main_context_push_thread_default(m_context);
    }
    ~MainContextFixture() override
    {
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }

    /// Runs the main context until @p done holds. Returns whether it does within @p limit.
    template <typename Condition> bool runUntil(Condition done, Milliseconds limit = Milliseconds(5000))
    {
        const MonotonicTime end = monotonicNow() + limit;
        while (!done() && monotonicNow() < end) {
            if (!g_main_context_iteration(m_context, FALSE)) {
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        }
        return done();
    }

    static BackendRequest requestTo(const TestBackend& backend, const std::string& method, const std::string& target)
    {
        BackendRequest request;
        request.address = backend.address();
        request.method = method;
        request.target = target;
        request.deadline = monotonicNow() + Milliseconds(3000);
        return request;
    }

    GMainContext* m_context;
};

} // namespace jasminespread::test
