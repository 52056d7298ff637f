#pragma once

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminespread {

/// Returns "<host>:<port>" with a port that was free on all loopback addresses at the time of the call.
inline std::string freeLoopbackAddress(const std::string& host = "127.0.0.1")
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return host + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace jasminespread
