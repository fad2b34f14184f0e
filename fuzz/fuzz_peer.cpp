// Decodes arbitrary bytes as a peer message: either a wire_error is thrown or
// the decoded message can be encoded again.
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
        // Malformed input is rejected by an exception.
    }
    return 0;
}
