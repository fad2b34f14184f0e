// Parses arbitrary bytes as a request and as a response. Feeding them at once
// and in two parts must give the same result.
#include "dandelioncrank/http/message_parser.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace dandelioncrank;

parse_state parse_split(message_parser::kind kind, const std::string& bytes,
                        std::size_t split_at)
{
    http_limits limits;
    limits.header_bytes_ = 1024;
    limits.body_bytes_ = 4096;
    message_parser parser(kind, limits);
    std::string buffer = bytes.substr(0, split_at);
    parser.feed(buffer);
    buffer += bytes.substr(split_at);
    return parser.feed(buffer);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    std::string text(reinterpret_cast<const char*>(bytes), size);
    for (auto kind :
         {message_parser::kind::request, message_parser::kind::response}) {
        parse_state unsplit_state = parse_split(kind, text, size);
        parse_state split_state = parse_split(kind, text, size / 2);
        if (unsplit_state != split_state)
            std::abort();
    }
    return 0;
}
