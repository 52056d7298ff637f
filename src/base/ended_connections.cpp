#include "base/ended_connections.h"

#include <sys/socket.h>

#include <cerrno>

namespace jasminespread {
namespace {

gboolean closeIfEnded(GSocket* socket, GIOCondition /*condition*/, gpointer /*data*/)
{
    if (g_socket_is_closed(socket) != FALSE) {
        return G_SOURCE_REMOVE;
    }
    char byte = 0;
    const ssize_t n = ::recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // EAGAIN means that libsoup has already read the next request. When that one is finished, the connection is watched
    // again.
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
        g_socket_close(socket, nullptr);
    }
    return G_SOURCE_REMOVE;
}

void watchIdleConnection(SoupServerMessage* message, gpointer /*data*/)
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket == nullptr || g_socket_is_closed(socket) != FALSE) {
        return;
    }
    GSource* source = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(closeIfEnded), nullptr, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    g_source_unref(source);
}

void onStarted(SoupServer* /*server*/, SoupServerMessage* message, gpointer /*data*/)
{
    g_signal_connect(message, "finished", G_CALLBACK(watchIdleConnection), nullptr);
}

} // namespace

void closeEndedConnections(SoupServer* server)
{
    g_signal_connect(server, "request-started", G_CALLBACK(onStarted), nullptr);
}

} // namespace jasminespread
