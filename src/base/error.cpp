#include <jasminespread/error.h>

namespace jasminespread {

std::string describe(const Error& error)
{
    if (!error.position) {
        return error.message;
    }
    const SourcePosition& position = *error.position;
    return position.file + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) + ": "
        + error.message;
}

} // namespace jasminespread
