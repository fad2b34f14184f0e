// Checks arbitrary bytes as a configuration text: malformed input must give
// findings, not a crash.
#include "dandelioncrank/manifest/config_checker.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    using namespace dandelioncrank;
    config_text text{"fuzz.yaml", {reinterpret_cast<const char*>(bytes), size}};
    (void)text_subject(text);
    (void)check_texts({text});
    return 0;
}
