#include "dandelioncrank/core/invariant.hpp"

namespace dandelioncrank {

void fail_invariant(const std::string& rule, const char* file, int line)
{
    std::string name = file;
    auto slash = name.rfind('/');
    if (slash != std::string::npos)
        name.erase(0, slash + 1);
    throw invariant_violation(name + ':' + std::to_string(line) +
                              ": invariant broken: " + rule);
}

} // namespace dandelioncrank
