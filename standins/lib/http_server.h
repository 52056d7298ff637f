#pragma once

#include <jasminespread/backend_transport.h>
#include <jasminespread/error.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread::standins {

/// One HTTP request and its answer. Used on the thread of the server only. The handler calls either answer() or drop(),
/// once; further calls do nothing.
class HttpExchange {
public:
    HttpExchange() = default;
    virtual ~HttpExchange() = default;
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    [[nodiscard]] virtual std::string method() const = 0;
    [[nodiscard]] virtual std::string path() const = 0; ///< Percent-decoded, without the query string.
    [[nodiscard]] virtual std::optional<std::string> queryParameter(const std::string& name) const = 0;
    [[nodiscard]] virtual std::optional<std::string> header(const std::string& name) const = 0;
    [[nodiscard]] virtual std::string body() const = 0;

    /// Sends the complete answer with a JSON body.
    virtual void answer(unsigned status, const std::string& body, const std::vector<HeaderField>& headers = {}) = 0;
    /// Closes the connection without sending an answer.
    virtual void drop() = 0;
    /// Calls @p action once if the client closes the connection before the answer is sent.
    virtual void onDisconnect(std::function<void()> action) = 0;
};

/// HTTP server on the thread's default main context.
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    explicit HttpServer(Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on "ip:port"; port 0 chooses a free port. Fails with InvalidInput or AddressInUse.
    [[nodiscard]] Result<void> listen(const std::string& address);
    /// Port of the first listening socket; 0 before listen().
    [[nodiscard]] unsigned port() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread::standins
