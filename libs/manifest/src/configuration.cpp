#include "dandelioncrank/manifest/configuration.hpp"

namespace dandelioncrank {

std::string to_text(adjacency value)
{
    switch (value) {
    case adjacency::worker:
        return "worker";
    case adjacency::rack:
        return "rack";
    case adjacency::any:
        break;
    }
    return "any";
}

std::optional<adjacency> parse_adjacency(const std::string& text)
{
    if (text == "worker")
        return adjacency::worker;
    if (text == "rack")
        return adjacency::rack;
    if (text == "any")
        return adjacency::any;
    return std::nullopt;
}

} // namespace dandelioncrank
