// Any bytes as a council's or the budget's text: findings, never a crash.
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
