#pragma once

#include "dandelioncrank/state/claim_table.hpp"
#include "dandelioncrank/state/config_store.hpp"

#include <deque>
#include <map>

namespace dandelioncrank {

struct stored_job
{
    zone_name zone_;
    job_record record_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, record_);
    }
};

struct zone_owner
{
    std::uint64_t epoch_ = 0;
    host_name host_;
    std::uint64_t nonce_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(epoch_, host_, nonce_);
    }
};

/// Replicated state machine: a deterministic function of the committed
/// commands, identical on all voters.
class replicated_state
{
  public:
    state_reply apply(const state_command& command);

    [[nodiscard]] const config_store& config() const { return config_; }
    [[nodiscard]] const claim_table& claims() const { return claims_; }
    [[nodiscard]] const std::map<job_id, stored_job>& jobs() const
    {
        return jobs_;
    }
    [[nodiscard]] const std::map<zone_name, zone_owner>& zones() const
    {
        return zones_;
    }

    [[nodiscard]] QByteArray snapshot() const;
    /// Throws wire_error.
    void restore(const QByteArray& bytes);
    /// Hash of the whole state; equal on replicas that have applied the same
    /// commands.
    [[nodiscard]] std::uint64_t hash() const;

    template <class Archive>
    void fields(Archive& archive)
    {
        std::vector<job_id> final_jobs(final_jobs_.begin(), final_jobs_.end());
        archive(now_, config_, claims_, jobs_, final_jobs, zones_);
        final_jobs_.assign(final_jobs.begin(), final_jobs.end());
    }

  private:
    state_reply handle(const submit_config& change);
    state_reply handle(const put_job& change);
    state_reply handle(const acquire_claim& change);
    state_reply handle(const settle_claim& change);
    state_reply handle(const acquire_zone& change);
    state_reply handle(const read_barrier& change);
    void evict_final_jobs();

    std::chrono::sys_seconds now_{};
    config_store config_;
    claim_table claims_;
    std::map<job_id, stored_job> jobs_;
    std::deque<job_id> final_jobs_;
    std::map<zone_name, zone_owner> zones_;
};

} // namespace dandelioncrank
