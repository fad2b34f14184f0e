#include "history_checker.hpp"

#include <algorithm>
#include <map>

namespace dandelioncrank::test {

namespace {

std::string describe(const text_operation& item)
{
    bool writes = item.kind_ == text_operation::kind::write;
    return (writes ? "write of version " : "read of version ") +
           std::to_string(item.version_);
}

// Finds two writes of the same version, and reads of a body that no write of
// the version has.
std::optional<std::string>
check_bodies(const std::vector<text_operation>& operations,
             const std::vector<unacknowledged_write>& unacknowledged_writes,
             std::map<std::uint64_t, const text_operation*>& writes)
{
    for (const text_operation& item : operations) {
        if (item.kind_ != text_operation::kind::write)
            continue;
        if (!writes.emplace(item.version_, &item).second)
            return "two writes were accepted as version " +
                   std::to_string(item.version_);
    }
    for (const text_operation& item : operations) {
        bool reads = item.kind_ == text_operation::kind::read &&
                     item.version_ > 0 && item.body_known_;
        if (!reads)
            continue;
        auto found = writes.find(item.version_);
        bool known =
            found != writes.end()
                ? found->second->body_ == item.body_
                : std::any_of(unacknowledged_writes.begin(),
                              unacknowledged_writes.end(),
                              [&item](const unacknowledged_write& write) {
                                  return write.body_ == item.body_ &&
                                         write.start_ <= item.end_;
                              });
        if (!known)
            return describe(item) + " returned a body that no write produced";
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> check_text_history(
    const std::vector<text_operation>& operations,
    const std::vector<unacknowledged_write>& unacknowledged_writes)
{
    std::map<std::uint64_t, const text_operation*> writes;
    if (auto fault = check_bodies(operations, unacknowledged_writes, writes))
        return fault;
    std::vector<const text_operation*> by_end;
    std::vector<const text_operation*> by_start;
    for (const text_operation& item : operations) {
        by_end.push_back(&item);
        by_start.push_back(&item);
        auto found = writes.find(item.version_);
        bool precedes_write = item.kind_ == text_operation::kind::read &&
                              found != writes.end() &&
                              found->second->start_ > item.end_;
        if (precedes_write)
            return describe(item) + " ended before the write began";
    }
    std::sort(by_end.begin(), by_end.end(),
              [](auto* a, auto* b) { return a->end_ < b->end_; });
    std::sort(by_start.begin(), by_start.end(),
              [](auto* a, auto* b) { return a->start_ < b->start_; });
    // An operation that ended before another one began precedes it.
    const text_operation* newest = nullptr;
    std::size_t ended = 0;
    for (const text_operation* item : by_start) {
        while (ended < by_end.size() && by_end[ended]->end_ < item->start_) {
            const text_operation* done = by_end[ended++];
            if (newest == nullptr || done->version_ > newest->version_)
                newest = done;
        }
        if (newest == nullptr)
            continue;
        bool is_write = item->kind_ == text_operation::kind::write;
        bool in_order = is_write ? item->version_ > newest->version_
                                 : item->version_ >= newest->version_;
        if (!in_order)
            return describe(*item) + " began after " + describe(*newest) +
                   " had ended";
    }
    return std::nullopt;
}

} // namespace dandelioncrank::test
