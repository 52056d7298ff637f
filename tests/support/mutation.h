#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <string>
#include <utility>

namespace jasminespread::test {

/// Makes invalid input out of valid input. The same seed makes the same input.
class Mutation {
public:
    explicit Mutation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Changes @p text in one to four places.
    std::string apply(std::string text)
    {
        for (std::size_t n = 1 + below(4); n > 0; --n) {
            change(text);
        }
        return text;
    }

    /// Returns a JSON value whose brackets and quotes match, but which no reader expects.
    std::string oddJson()
    {
        const std::size_t depth = 1 + below(5000);
        const std::array<std::string, 12> values {std::string(depth, '[') + std::string(depth, ']'), "1e999",
            "1e99999999999", std::string(1 + below(400), '9'), "-1", "nul", "\"\x01\"", "\"\xff\xfe\"", "", "{}",
            R"({"service":5})", "\"" + std::string(below(70'000), 'x') + "\""};
        return values[below(values.size())];
    }

    /// Replaces one number of a JSON text.
    std::string replaceNumber(std::string text)
    {
        const std::array<std::string, 10> numbers {"0", "-1", "0.5", "1e15", "1e300", "1e999", "4294967296",
            "9223372036854775807", "18446744073709551615", "1"};
        const std::size_t from = text.find(':', below(text.size()));
        const std::size_t at = from == std::string::npos ? from : text.find_first_of("0123456789", from);
        if (at != std::string::npos) {
            text.replace(at, text.find_first_not_of("0123456789.", at) - at, numbers[below(numbers.size())]);
        }
        return text;
    }

    std::size_t below(std::size_t n) { return static_cast<std::size_t>(m_random() % n); }

private:
    void change(std::string& text)
    {
        if (text.empty()) {
            return;
        }
        const std::size_t at = below(text.size());
        const std::size_t length = below(std::min<std::size_t>(text.size() - at, 20) + 1);
        switch (below(6)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, std::string(below(200), static_cast<char>(below(256))));
            break;
        case 4:
            text.insert(at, oddJson());
            break;
        default:
            text.resize(at);
            break;
        }
    }

    std::mt19937_64 m_random;
};

} // namespace jasminespread::test
