#pragma once

#include "http/message_cost.h"

#include <jasminespread/backend_transport.h>

#include <boost/beast/http.hpp>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminespread {

/// Why a message of a peer cannot be read.
enum class ParseError : std::uint8_t { Malformed, HeaderTooLarge, BodyTooLarge };

struct ParseFailure {
    ParseError error = ParseError::Malformed;
    std::string reason; ///< Text for logs.
};

/// Reads one HTTP/1.1 message of a peer. Beast's parser checks the framing and the fields; an answer whose status is
/// outside of 100 to 599, or whose transfer encoding is not "chunked", is Malformed. Everything that is kept of the
/// message is limited here: its head, its body, its trailer, and each line of the framing of a chunked body. No input
/// makes it throw: what Beast or a container throws while it reads is a failure of this message. Not thread-safe.
template <bool isRequest>
class MessageParser : private boost::beast::http::parser<isRequest, boost::beast::http::string_body> {
    using Base = boost::beast::http::parser<isRequest, boost::beast::http::string_body>;

public:
    /// @param maxHeaderBytes limits the head, the trailer, and each line of the framing.
    MessageParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
        : m_maxHeaderBytes(maxHeaderBytes)
    {
        Base::header_limit(maxHeaderBytes);
        Base::body_limit(maxBodyBytes);
        Base::eager(true);
    }

    using Base::chunked;
    using Base::got_some;
    using Base::is_done;
    using Base::is_header_done;
    using Base::keep_alive;
    using Base::need_eof;
    using Base::skip;

    /// Reads from @p input and removes what it has read, up to the end of the message. The rest needs more input.
    /// Returns why the message cannot be read; it must not be called again then.
    [[nodiscard]] std::optional<ParseFailure> read(std::string& input)
    {
        std::size_t consumed = 0;
        boost::system::error_code ec;
        std::optional<ParseFailure> failure = guarded([&] {
            while (!ec && !Base::is_done() && consumed < input.size()) {
                consumed += Base::put(boost::asio::const_buffer(input.data() + consumed, input.size() - consumed), ec);
            }
        });
        input.erase(0, consumed);
        if (failure || (ec && ec != boost::beast::http::error::need_more)) {
            return failure ? failure : failureOf(ec);
        }
        if (!Base::is_done() && input.size() > m_maxHeaderBytes) {
            return ParseFailure {ParseError::HeaderTooLarge, "a line of the message is too long"};
        }
        return std::nullopt;
    }

    /// The peer closed its side. Returns why that does not complete the message.
    [[nodiscard]] std::optional<ParseFailure> readEnd()
    {
        boost::system::error_code ec;
        const std::optional<ParseFailure> failure = guarded([&] { Base::put_eof(ec); });
        return !failure && ec ? failureOf(ec) : failure;
    }

    /// Fields of the head, without those of a trailer.
    [[nodiscard]] std::vector<HeaderField>& headers() noexcept { return m_headers; }
    [[nodiscard]] std::string& body() noexcept { return Base::get().body(); }
    /// Memory that is kept of the message.
    [[nodiscard]] std::size_t heldBytes() const noexcept
    {
        return Base::get().body().size() + m_headers.capacity() * sizeof(HeaderField) + m_fieldHeapBytes;
    }
    /// Start line. Precondition: is_header_done().
    [[nodiscard]] const boost::beast::http::header<isRequest>& startLine() const noexcept { return Base::get().base(); }

private:
    /// Runs @p step, whose exceptions are failures of the message. It must not call out of the parser.
    template <typename Step> static std::optional<ParseFailure> guarded(Step step)
    {
        try {
            step();
            return std::nullopt;
        } catch (const std::exception& error) {
            return ParseFailure {ParseError::Malformed, error.what()};
        }
    }

    static ParseFailure failureOf(const boost::system::error_code& ec)
    {
        namespace http = boost::beast::http;
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
            return {ParseError::HeaderTooLarge, ec.message()};
        }
        return {ec == http::error::body_limit ? ParseError::BodyTooLarge : ParseError::Malformed, ec.message()};
    }

    void on_header_impl(boost::system::error_code& ec) override
    {
        ec = {};
        if constexpr (!isRequest) {
            // Beast takes any three digits for a status. RFC 9110, section 15: others than these are invalid.
            const unsigned status = Base::get().result_int();
            if (status < 100 || status > 599) {
                ec = boost::beast::http::error::bad_status;
            }
        }
    }

    /// Keeps the fields itself, because Beast's container throws for a field above 64 KiB, whatever the limit is.
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name, boost::beast::string_view value,
        boost::system::error_code& ec) override
    {
        if constexpr (!isRequest) {
            // Beast leaves the body in any other encoding, whose field is not passed on. No request asks for one.
            if (field == boost::beast::http::field::transfer_encoding && !boost::beast::iequals(value, "chunked")) {
                ec = boost::beast::http::error::bad_transfer_encoding;
                return;
            }
        }
        const std::size_t bytes = name.size() + value.size();
        if (!Base::is_header_done()) { // Beast has checked the limit of the head.
            m_headers.push_back({std::string(name), std::string(value)});
            m_fieldHeapBytes += heapCost(m_headers.back());
        } else if ((m_trailerBytes += bytes) > m_maxHeaderBytes) {
            ec = boost::beast::http::error::header_limit;
        }
    }

    std::uint32_t m_maxHeaderBytes;
    std::vector<HeaderField> m_headers;
    std::size_t m_fieldHeapBytes = 0; ///< Texts of m_headers beyond its objects.
    std::size_t m_trailerBytes = 0; ///< Its fields are not kept.
};

} // namespace jasminespread
