#pragma once

#include "gateway/listed_server.h"

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <optional>

namespace jasminespread {

/// Whether a request may go to any ready server of its service, or only to the owner of its key.
enum class RequestScope : std::uint8_t { AnyServer, OwnerOnly };

/// Why a server gets no further requests.
enum class ServerBlock : std::uint8_t {
    None,
    NotListed, ///< Service discovery does not list it.
    Leaving, ///< It is shutting down.
    Evacuated, ///< The operator asked that nothing be sent to its failure domain.
    Pausing, ///< It asked for a pause.
    AwaitingFirstAnswer, ///< After the pause one request is in flight; its answer decides about the next ones.
    Unreachable ///< A recent connection failed.
};

inline constexpr std::array<EnumName<ServerBlock>, 7> serverBlockNames {{
    {ServerBlock::None, "none"},
    {ServerBlock::NotListed, "not-listed"},
    {ServerBlock::Leaving, "leaving"},
    {ServerBlock::Evacuated, "evacuated"},
    {ServerBlock::Pausing, "pausing"},
    {ServerBlock::AwaitingFirstAnswer, "awaiting-first-answer"},
    {ServerBlock::Unreachable, "unreachable"},
}};

/// Longest pause that a server can ask for at a time. A longer one ends with a single request, which the server may
/// refuse in the same way.
inline constexpr Milliseconds maxServerPause {30'000};

/// Tells when one run of a backend server takes requests of this instance. Combines what service discovery lists, what
/// the server states in its answers, and failed connections. A shutdown that the server itself states is final: no list
/// makes the same run available again. Reads no clock and does no I/O. Not thread-safe.
class ServerAvailability {
public:
    struct Decision {
        ServerBlock block = ServerBlock::None;
        MonotonicTime until; ///< When to ask again; MonotonicTime::max() if the server does not become available.

        [[nodiscard]] bool available() const noexcept { return block == ServerBlock::None; }
    };

    /// @param drainTime how long a server serves after it has announced its shutdown.
    /// @param evacuationTime how long the owner of a key may get requests after its failure domain was evacuated.
    explicit ServerAvailability(
        Milliseconds drainTime = Milliseconds(0), Milliseconds evacuationTime = Milliseconds(0)) noexcept
        : m_drainTime(drainTime)
        , m_evacuationTime(evacuationTime)
    {
    }

    /// @name Observations
    /// @{

    /// Service discovery lists the server. A new state came into force after @p changedAfter; nothing when that is
    /// unknown, e.g. in the first list.
    void onListed(ListedServerState state, std::optional<MonotonicTime> changedAfter) noexcept;
    void onUnlisted() noexcept { m_listed = false; }
    /// The server's failure domain is evacuated, since @p evacuatedSince at the earliest, or, with nothing, it is not.
    void onEvacuationListed(std::optional<MonotonicTime> evacuatedSince) noexcept { m_evacuatedSince = evacuatedSince; }
    /// The server stated that it is shutting down, in the answer to a request that was sent at @p sentAt.
    void onLeavingStated(MonotonicTime sentAt) noexcept;
    /// The server refused a request and asked for no others for @p pause. @p jitter in [0, 1) spreads the return of
    /// several instances. Precondition: @p pause is positive.
    void onPauseRequested(Milliseconds pause, double jitter, MonotonicTime now) noexcept;
    /// No connection could be opened, or another server answered at the address.
    void onUnreachable(MonotonicTime now) noexcept;
    /// The server executed a request that was sent at @p sentAt.
    void onAnswered(MonotonicTime sentAt) noexcept;
    /// The machine was suspended for @p duration, which the clock of the times does not count.
    void onSuspended(Milliseconds duration) noexcept;
    /// @}

    /// @name The first request after a pause
    /// @{

    /// A request is dispatched at @p now. Returns whether it is the first one after a pause, for which
    /// onFirstRequestEnded() must be called.
    [[nodiscard]] bool onDispatched(MonotonicTime now) noexcept;
    void onFirstRequestEnded() noexcept { m_firstRequestInFlight = false; }
    /// @}

    /// @name Decisions
    /// @{

    /// Whether to choose the server for a request at @p now.
    [[nodiscard]] Decision decide(RequestScope scope, MonotonicTime now) const noexcept;
    /// Whether a request that was dispatched to the server and has waited, e.g. for a connection, may be sent at
    /// @p now.
    [[nodiscard]] bool maySend(RequestScope scope, MonotonicTime now) const noexcept;
    /// @}

    /// Whether a list that lacks the server and a later one that has it must not make it available.
    [[nodiscard]] bool mustBeRemembered(MonotonicTime now) const noexcept
    {
        return m_leavingSince.has_value() || now < m_pausedUntil;
    }
    [[nodiscard]] bool isLeaving() const noexcept { return m_listedDraining || m_statedLeaving; }
    /// Whether the server itself stated that it is shutting down.
    [[nodiscard]] bool hasStatedLeaving() const noexcept { return m_statedLeaving; }
    /// Time from the earliest moment at which the shutdown can have been announced; nothing if it was not announced.
    [[nodiscard]] std::optional<Milliseconds> leavingFor(MonotonicTime now) const noexcept;

private:
    [[nodiscard]] Decision lasting(RequestScope scope, MonotonicTime now) const noexcept;
    void leaveSince(MonotonicTime earliest) noexcept;

    Milliseconds m_drainTime;
    Milliseconds m_evacuationTime;
    bool m_listed = false;
    bool m_listedDraining = false;
    bool m_statedLeaving = false;
    std::optional<MonotonicTime> m_leavingSince; ///< Earliest moment at which its shutdown can have been announced.
    std::optional<MonotonicTime> m_evacuatedSince; ///< Earliest moment; set while its failure domain is evacuated.
    MonotonicTime m_pausedUntil;
    bool m_awaitsFirstAnswer = false; ///< No request has been executed since the last pause began.
    bool m_firstRequestInFlight = false;
    MonotonicTime m_unreachableUntil;
    std::uint32_t m_consecutiveUnreachable = 0;
};

} // namespace jasminespread
