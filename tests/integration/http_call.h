#pragma once

#include <jasminespread/backend_transport.h>

#include <memory>
#include <string>
#include <vector>

namespace jasminespread::test {

struct HttpResponse {
    bool connected = false; ///< Whether the request may have reached the server.
    unsigned status = 0; ///< 0 when no complete answer arrived.
    std::vector<HeaderField> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const; ///< Empty when absent.
};

/// Blocking HTTP client. Not thread-safe.
class HttpClient {
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request and waits for the complete answer. @p url is "http://ip:port/path".
    [[nodiscard]] HttpResponse call(const std::string& method, const std::string& url,
        const std::vector<HeaderField>& headers = {}, const std::string& body = "");

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread::test
