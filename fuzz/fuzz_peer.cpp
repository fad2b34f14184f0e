// Any bytes as a message between daemons: a wire_error or a value that can
// be written again.
#include "peer_messages.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    using namespace dandelioncrank;
    QByteArray input(reinterpret_cast<const char*>(bytes),
                     static_cast<qsizetype>(size));
    try {
        auto message = from_wire<peer_message>(input);
        (void)to_wire(message);
    } catch (const wire_error&) {
        // What a stranger sends is refused.
    }
    return 0;
}
