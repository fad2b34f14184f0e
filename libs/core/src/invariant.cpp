#include "dandelioncrank/core/invariant.hpp"

namespace dandelioncrank {

void fail_invariant(const std::string& rule, std::source_location place)
{
    std::string name = place.file_name();
    auto slash = name.rfind('/');
    if (slash != std::string::npos)
        name.erase(0, slash + 1);
    throw invariant_violation(name + ':' + std::to_string(place.line()) +
                              ": invariant broken: " + rule);
}

} // namespace dandelioncrank
