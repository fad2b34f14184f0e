#include "dandelioncrank/pool/worker_speed_summary.hpp"

#include <algorithm>
#include <tuple>

namespace dandelioncrank::pool {

worker_speed_summary
summarize_speeds(const std::unordered_map<worker_name, double>& speeds,
                 std::size_t limit)
{
    worker_speed_summary result;
    double slowest = 1.0;
    double fastest = 1.0;
    for (const auto& item : speeds) {
        (item.second < 1 ? result.slowest_ : result.fastest_).push_back(item);
        slowest = std::min(slowest, item.second);
        fastest = std::max(fastest, item.second);
    }
    result.slow_workers_ = result.slowest_.size();
    result.spread_ = fastest / slowest;
    auto cut = [limit](auto& list, auto comes_first) {
        std::sort(list.begin(), list.end(), comes_first);
        list.resize(std::min(limit, list.size()));
    };
    using entry = worker_speed_summary::entry;
    cut(result.slowest_, [](const entry& a, const entry& b) {
        return std::tie(a.second, a.first) < std::tie(b.second, b.first);
    });
    cut(result.fastest_, [](const entry& a, const entry& b) {
        return std::tie(b.second, a.first) < std::tie(a.second, b.first);
    });
    return result;
}

} // namespace dandelioncrank::pool
