#include "dandelioncrank/core/invariant.hpp"

namespace dandelioncrank {

void fail_invariant(const std::string& description, const char* file, int line)
{
    std::string file_name = file;
    auto slash = file_name.rfind('/');
    if (slash != std::string::npos)
        file_name.erase(0, slash + 1);
    throw invariant_violation(file_name + ':' + std::to_string(line) +
                              ": invariant violated: " + description);
}

} // namespace dandelioncrank
