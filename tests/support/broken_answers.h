#pragma once

#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace jasminespread::test {

struct BrokenAnswer {
    std::string form;
    std::string bytes; ///< The server closes the connection behind them.
};

/// Returns answers with status 200 in which a line of a head or of a trailer cannot be read. Each has the complete
/// lines
/// @p fields in its head, and the body @p body.
inline std::vector<BrokenAnswer> answersWithBrokenLines(const std::string& fields, const std::string& body)
{
    using namespace std::string_literals;
    const std::string head = "HTTP/1.1 200 X\r\n" + fields;
    const std::string lengthAndBody = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::ostringstream chunks;
    chunks << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n";
    const std::pair<std::string, std::string> lines[] = {
        {"blank within the name", "X Y: 1"},
        {"blank before the colon", "X : 1"},
        {"tab before the colon", "X\t: 1"},
        {"blank before the first name", " X: 1"},
        {"control byte in the name", "X\x01Y: 1"},
        {"NUL in the name", "X\0Y: 1"s},
        {"DEL in the name", "X\x7fY: 1"},
        {"carriage return in the name", "X\rY: 1"},
        {"empty name", ": 1"},
        {"no colon", "X"},
        {"control byte in the value", "X: 1\x01"},
        {"NUL in the value", "X: 1\0"s},
    };
    std::vector<BrokenAnswer> answers;
    for (const auto& [form, text] : lines) {
        const std::string line = text + "\r\n";
        std::string bytes = "HTTP/1.1 200 X\r\n" + line; // Behind another field a blank would continue its value.
        answers.push_back({form, bytes.append(fields).append(lengthAndBody)});
        bytes = "HTTP/1.1 103 X\r\n" + line;
        answers.push_back({form + ", in an interim answer", bytes.append("\r\n").append(head).append(lengthAndBody)});
        bytes = head + "Transfer-Encoding: chunked\r\n\r\n";
        answers.push_back({form + ", in the trailer", bytes.append(chunks.str()).append(line).append("\r\n")});
    }
    answers.push_back({"blank in the name of the length", head + "Content-Length : 1\r\n\r\n" + body});
    answers.push_back(
        {"blank in the name of the encoding", head + "Transfer-Encoding : chunked\r\n\r\n" + chunks.str() + "\r\n"});
    answers.push_back(
        {"blank in the name of the encoding, with a length", head + "Transfer-Encoding : chunked\r\n" + lengthAndBody});
    return answers;
}

} // namespace jasminespread::test
