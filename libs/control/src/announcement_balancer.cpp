#include "announcement_balancer.hpp"

#include "dandelioncrank/core/wire.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Up to this many workers, the leader acknowledges all announcements itself. At
// one announcement per worker in 1.5 s and about 65 us each, they take 2 % of a
// core.
constexpr std::size_t max_workers_on_leader = 450;
// Interval at which announcements are relayed to the leader. Relaying delays
// the reading of a worker's clock by at most this much, which shortens the
// worker's lease.
constexpr duration batch_interval = 100ms;
// Time without a new announcement after which numbers may start again lower.
constexpr duration max_announcement_age = 5s;

} // namespace

bool announcement_balancer::is_distributed() const
{
    return state_.workers().size() > max_workers_on_leader;
}

// A sequence number that is far too high must not silence its worker for ever;
// one announcement that was delayed for long must not count as new.
bool announcement_balancer::is_stale(const pool::worker_info& info,
                                     std::uint64_t sequence, instant now)
{
    announcement& last = announcements_[info.name_];
    bool is_older =
        info.incarnation_ < last.incarnation_ ||
        (info.incarnation_ == last.incarnation_ && sequence <= last.sequence_);
    bool is_recent = now - last.at_ <= max_announcement_age;
    bool is_rising =
        last.lower_sequence_ != 0 && sequence > last.lower_sequence_;
    if (is_older && (is_recent || !is_rising)) {
        last.lower_sequence_ = is_recent ? 0 : sequence;
        return true;
    }
    last = {info.incarnation_, sequence, 0, now};
    return false;
}

void announcement_balancer::reset_sequence(const worker_name& worker)
{
    announcements_.erase(worker);
}

bool announcement_balancer::is_unchanged(const pool::worker_info& info) const
{
    auto found = state_.workers().find(info.name_);
    return found != state_.workers().end() && found->second.info_ == info;
}

void announcement_balancer::add_to_batch(const pool::worker_info& info,
                                         std::int64_t clock_ms,
                                         duration cold_remaining)
{
    batch_.push_back({info.name_, info.incarnation_, clock_ms, cold_remaining});
}

std::vector<relayed_announcement> announcement_balancer::take_batch(instant now)
{
    if (batch_.empty() || now - batch_sent_at_ < batch_interval)
        return {};
    batch_sent_at_ = now;
    return std::exchange(batch_, {});
}

// Rendezvous hashing: the host with the highest hash is chosen, so adding or
// removing a host moves only its own share of the workers.
std::string
announcement_balancer::assigned_host(const worker_name& worker,
                                     const std::vector<std::string>& hosts)
{
    std::string best;
    std::uint64_t highest_rank = 0;
    for (const std::string& host : hosts) {
        std::uint64_t rank = stable_hash(worker.str() + ' ' + host);
        if (best.empty() || rank > highest_rank) {
            best = host;
            highest_rank = rank;
        }
    }
    return best;
}

} // namespace dandelioncrank::control
