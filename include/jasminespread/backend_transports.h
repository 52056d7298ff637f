#pragma once

#include <jasminespread/backend_transport.h>

#include <cstdint>

namespace jasminespread {

/// @name Transports
/// Both work on the calling thread's default main context, which must outlive them.
/// @{

/// Makes a transport over non-blocking sockets with Boost.Beast's HTTP codec. It tracks exactly whether a byte of a
/// request was written. An answer is complete only when Content-Length, chunked encoding or its status determines its
/// end; an answer that ends with the connection is Broken unless BackendRequest::acceptsCloseDelimitedAnswer is set.
/// @param maxBodyBytes longest body of an answer; an answer with a longer one is Broken.
[[nodiscard]] BackendTransport makeBeastBackendTransport(std::uint64_t maxBodyBytes);

/// Makes a transport over a libsoup session. Connection limits per address are not supported: each address may have
/// 110 connections.
[[nodiscard]] BackendTransport makeSoupBackendTransport();
/// @}

} // namespace jasminespread
