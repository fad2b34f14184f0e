#pragma once

#include <stdexcept>
#include <string>

namespace dandelioncrank {

/// Thrown when an internal invariant does not hold.
class invariant_violation : public std::logic_error
{
  public:
    using std::logic_error::logic_error;
};

/// Throws invariant_violation with the source location of the call.
[[noreturn]] void fail_invariant(const std::string& description,
                                 const char* file = __builtin_FILE(),
                                 int line = __builtin_LINE());

/// Throws invariant_violation if the condition is false.
inline void require_invariant(bool condition, const char* description,
                              const char* file = __builtin_FILE(),
                              int line = __builtin_LINE())
{
    if (!condition)
        fail_invariant(description, file, line);
}

} // namespace dandelioncrank
