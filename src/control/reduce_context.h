#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/effect.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/time.h>

#include <string>
#include <utility>

namespace jasminespread {

class Membership;

/// Input and output that the control modules share during one call of ControlReducer::reduce().
struct ReduceContext {
    MonotonicTime now;
    WallTime wall;
    const InstanceSettings& settings;
    const InstanceReference& self;
    const Membership& membership;
    const Configuration* configuration; ///< The configuration in force; null before the first one.
    bool stopping; ///< This instance is shutting down and hands its groups over.
    Effects& effects;

    void addToCounter(std::string name, std::string labels, double value = 1) const
    {
        effects.push_back(RecordMetric {std::move(name), std::move(labels), value, false});
    }
    void log(LogEvent event, std::string details) const { effects.push_back(WriteLog {event, std::move(details)}); }
};

} // namespace jasminespread
