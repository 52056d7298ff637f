#pragma once

#include <jasminespread/backend_transport.h>

#include <memory>
#include <string>
#include <vector>

namespace jasminespread::test {

struct HttpResponse {
    bool connected = false; ///< The request may have reached the server.
    unsigned status = 0; ///< 0: no whole answer.
    std::vector<HeaderField> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& name) const; ///< Empty when absent.
};

/// Blocking HTTP client of one thread.
class HttpCaller {
public:
    HttpCaller();
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    /// Sends a request and waits for the whole answer. @p url is "http://ip:port/path".
    [[nodiscard]] HttpResponse call(const std::string& method, const std::string& url,
        const std::vector<HeaderField>& headers = {}, const std::string& body = "");

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread::test
