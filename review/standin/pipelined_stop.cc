// Case: a caller sends its next request before the answer to the one before, while the gateway stops as planned.
// Usage: pipelined_stop GATEWAY FOLDER RECORD TROUBLE
#include "fleet.hpp"

int main(int argc, char** argv)
{
    using namespace world;
    if (argc < 5) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    FleetSettings settings;
    settings.program = argv[1];
    settings.folder = argv[2];
    settings.record = argv[3];
    settings.behaviour.workMs = 800;
    const bool trouble = std::string(argv[4]) != "0";
    Fleet fleet(settings);
    sleepMs(1500);
    const auto requestText = [](const std::string& rid, unsigned key) {
        return "GET /plan/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + rid
            + "\r\nDeadline-Ms: 1500\r\nShard-Key: " + std::to_string(key) + "\r\n\r\n";
    };
    int lost = 0;
    for (auto& gateway : fleet.gateways) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in a = addressOf(gateway->front());
        if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
            std::_Exit(2);
        }
        const std::string first = hex(0x1001 + gateway->pid);
        const std::string second = hex(0x2002 + gateway->pid);
        sendAll(fd, requestText(first, 100));
        fleet.record.line("client sends " + first + " to " + gateway->node);
        sleepMs(100);
        if (trouble) {
            fleet.record.line("SIGTERM to " + gateway->node);
            gateway->kill(SIGTERM);
        }
        sleepMs(150);
        sendAll(fd, requestText(second, 40000));
        const double sentAt = nowMs();
        fleet.record.line("client sends " + second + " on the same connection");
        std::string buffer;
        Message answer;
        int answers = 0;
        while (answers < 2 && readMessage(fd, buffer, answer, 4000)) {
            ++answers;
            fleet.record.line("client gets " + answer.first + " for " + answer.header("Request-Id") + ", Connection: "
                + answer.header("Connection"));
        }
        const double endedAfter = nowMs() - sentAt;
        if (answers < 2) {
            char text[200];
            std::snprintf(text, sizeof text, "LOST: the connection ends without an answer to %s, %.0f ms after its last byte was sent",
                second.c_str(), endedAfter);
            fleet.record.line(text);
            std::cout << text << std::endl;
            lost += endedAfter > 200 ? 1 : 0;
        }
        close(fd);
    }
    std::cout << "unanswered: " << lost << " of " << fleet.gateways.size() << std::endl;
    fleet.record.flush();
    for (auto& gateway : fleet.gateways) {
        gateway->kill(SIGKILL);
    }
    std::_Exit(lost > 0 ? 1 : 0);
}
