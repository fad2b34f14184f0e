#include "announcement_desk.hpp"

#include "dandelioncrank/core/wire.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// Workers whose announcements the leader takes all by itself: at one in 1.5 s
// and some 65 us each they cost it 2 % of a core (sweeps of the grown sites).
constexpr std::size_t leader_alone = 450;
// The leader hears of workers this often. A worker's clock is read that much
// late at most, which shortens its lease.
constexpr duration batch_time = 100ms;

} // namespace

bool announcement_desk::spreads() const
{
    return state_.workers().size() > leader_alone;
}

bool announcement_desk::is_late(const pool::worker_info& info,
                                std::uint64_t sequence)
{
    auto& [life, last] = sequences_[info.name_];
    if (info.incarnation_ < life ||
        (info.incarnation_ == life && sequence <= last))
        return true;
    life = info.incarnation_;
    last = sequence;
    return false;
}

void announcement_desk::forget(const worker_name& worker)
{
    sequences_.erase(worker);
}

bool announcement_desk::is_known(const pool::worker_info& info) const
{
    auto found = state_.workers().find(info.name_);
    return found != state_.workers().end() && found->second.info_ == info;
}

void announcement_desk::keep(const pool::worker_info& info,
                             std::int64_t clock_ms)
{
    batch_.push_back({info.name_, info.incarnation_, clock_ms});
}

std::vector<worker_sign> announcement_desk::take_batch(instant now)
{
    if (batch_.empty() || now - sent_at_ < batch_time)
        return {};
    sent_at_ = now;
    return std::exchange(batch_, {});
}

// The highest hash wins, so a host that comes or goes moves only its own
// share of the workers.
std::string announcement_desk::home_of(const worker_name& worker,
                                       const std::vector<std::string>& hosts)
{
    std::string best;
    std::uint64_t most = 0;
    for (const std::string& host : hosts) {
        std::uint64_t rank = stable_hash(worker.str() + ' ' + host);
        if (best.empty() || rank > most) {
            best = host;
            most = rank;
        }
    }
    return best;
}

} // namespace dandelioncrank::control
