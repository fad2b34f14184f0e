#pragma once

#include <source_location>
#include <stdexcept>
#include <string>

namespace dandelioncrank {

/// A rule that must always hold was found broken.
class invariant_violation : public std::logic_error
{
  public:
    using std::logic_error::logic_error;
};

/// Throws invariant_violation with the place of the call.
[[noreturn]] void
fail_invariant(const std::string& rule,
               std::source_location place = std::source_location::current());

/// Throws invariant_violation unless holds is true.
inline void
require_invariant(bool holds, const char* rule,
                  std::source_location place = std::source_location::current())
{
    if (!holds)
        fail_invariant(rule, place);
}

} // namespace dandelioncrank
