#pragma once

#include <jasminespread/backend_transport.h>

#include <cstdint>
#include <limits>

namespace jasminespread {

/// Limits on what a transport keeps of answers that are not complete. An answer that exceeds one of them is Broken.
struct AnswerLimits {
    std::uint64_t maxBodyBytes = 67'108'864; ///< Longest body of an answer.
    /// Bytes of all answers together. When they exceed it, the longest one ends, so that one server that sends without
    /// end does not end the answers of others.
    std::uint64_t maxTotalBytes = std::numeric_limits<std::uint64_t>::max();
};

/// @name Transports
/// Both work on the calling thread's default main context, which must outlive them.
/// @{

/// Makes a transport over non-blocking sockets with Boost.Beast's HTTP codec. It tracks exactly whether a byte of a
/// request was written. An answer is complete only when Content-Length, chunked encoding or its status determines its
/// end; an answer that ends with the connection is Broken unless BackendRequest::acceptsCloseDelimitedAnswer is set.
/// The trailer of an answer and each line of its framing are limited as its head is, to 64 KiB. What cannot be read
/// ends its connection only.
[[nodiscard]] BackendTransport makeBeastBackendTransport(AnswerLimits limits);

/// Makes a transport over a libsoup session. Connection limits per address are not supported: each address may have
/// 110 connections.
[[nodiscard]] BackendTransport makeSoupBackendTransport();
/// @}

} // namespace jasminespread
