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

/// Makes a transport over non-blocking sockets with Boost.Beast's HTTP codec. It works on the calling thread's default
/// main context, which must outlive it. It tracks exactly whether a byte of a request was written.
///
/// An answer is complete only when Content-Length, chunked encoding or its status determines its end. One that ends
/// with the connection is Broken unless BackendRequest::acceptsCloseDelimitedAnswer is set and the server ended the
/// connection in order. An answer is also Broken when its status is outside of 100 to 599, when it switches protocols
/// or has another transfer encoding, and when a line of its head, its trailer, its framing or an interim answer cannot
/// be read. The trailer and each line of the framing are limited as the head is, to 64 KiB. What cannot be read ends
/// its connection only.
[[nodiscard]] BackendTransport makeBeastBackendTransport(AnswerLimits limits);

} // namespace jasminespread
