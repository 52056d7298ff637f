#pragma once

#include "settings/field_presence.h"

#include <jasminespread/instance_settings.h>

#include <concepts>

namespace jasminespread {

/// @name Fields of the instance settings
/// Calls visitor(name, member, presence) for each field, in the order of the declaration.
/// @{
template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, InstanceSettings::PeerAddress>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("control", value.control, FieldPresence::Required);
    visitor("forward", value.forward, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, InstanceSettings>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("instance", value.instance, FieldPresence::Required);
    visitor("region", value.region, FieldPresence::Required);
    visitor("failureDomain", value.failureDomain, FieldPresence::Required);
    visitor("callerAddress", value.callerAddress, FieldPresence::Required);
    visitor("operatorAddress", value.operatorAddress, FieldPresence::Required);
    visitor("controlAddress", value.controlAddress, FieldPresence::Required);
    visitor("forwardAddress", value.forwardAddress, FieldPresence::Required);
    visitor("platformUrl", value.platformUrl, FieldPresence::Required);
    visitor("workers", value.workers, FieldPresence::Optional);
    visitor("heartbeatInterval", value.heartbeatInterval, FieldPresence::Optional);
    visitor("suspectAfter", value.suspectAfter, FieldPresence::Optional);
    visitor("thirdPartyAfter", value.thirdPartyAfter, FieldPresence::Optional);
    visitor("grantInterval", value.grantInterval, FieldPresence::Optional);
    visitor("grantTimeout", value.grantTimeout, FieldPresence::Optional);
    visitor("driftMargin", value.driftMargin, FieldPresence::Optional);
    visitor("clockSkewMargin", value.clockSkewMargin, FieldPresence::Optional);
    visitor("storeTimeout", value.storeTimeout, FieldPresence::Optional);
    visitor("storePollInterval", value.storePollInterval, FieldPresence::Optional);
    visitor("instanceListInterval", value.instanceListInterval, FieldPresence::Optional);
    visitor("confirmTimeout", value.confirmTimeout, FieldPresence::Optional);
    visitor("shutdownTimeout", value.shutdownTimeout, FieldPresence::Optional);
    visitor("maxBodyBytes", value.maxBodyBytes, FieldPresence::Optional);
    visitor("windowEntries", value.windowEntries, FieldPresence::Optional);
    visitor("windowBytes", value.windowBytes, FieldPresence::Optional);
    visitor("queueLimit", value.queueLimit, FieldPresence::Optional);
    visitor("retryBudget", value.retryBudget, FieldPresence::Optional);
    visitor("maxConcurrentRequests", value.maxConcurrentRequests, FieldPresence::Optional);
    visitor("logLevel", value.logLevel, FieldPresence::Optional);
    visitor("logFile", value.logFile, FieldPresence::Optional);
    visitor("addressOverrides", value.addressOverrides, FieldPresence::Optional);
}
/// @}

} // namespace jasminespread
