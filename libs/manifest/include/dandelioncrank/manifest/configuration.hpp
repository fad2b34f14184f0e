#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// How near to each other the accelerators of a block or gang must be.
enum class adjacency
{
    worker,
    rack,
    any
};

[[nodiscard]] std::string to_text(adjacency value);
[[nodiscard]] std::optional<adjacency> parse_adjacency(const std::string& text);

/// Guaranteed blocks of accelerators in one availability zone.
struct guarantee
{
    zone_name zone_;
    int blocks_ = 0;
    /// Accelerators in each block.
    int accelerators_ = 0;
    adjacency within_ = adjacency::rack;

    auto operator<=>(const guarantee&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zone_, blocks_, accelerators_, within_);
    }
};

/// What the shared budget says about one team.
struct team_rule
{
    team_name name_;
    std::vector<guarantee> guarantees_;
    /// Share of request slots relative to other teams.
    int weight_ = 1;
    /// Largest number of jobs that may wait in one availability zone.
    int queued_jobs_ = 1000;
    /// Jobs that it may submit in one availability zone in a minute.
    int jobs_per_minute_ = 6000;
    /// Largest number of requests that may wait for one service.
    int queued_requests_ = 1000;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, guarantees_, weight_, queued_jobs_, jobs_per_minute_,
                queued_requests_);
    }
};

/// One availability zone and the workers that it is planned to have.
struct zone_rule
{
    zone_name name_;
    std::string region_;
    int racks_ = 0;
    int workers_per_rack_ = 0;
    /// Accelerators of each worker.
    int accelerators_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, region_, racks_, workers_per_rack_, accelerators_);
    }
};

/// One service of a council.
struct service_rule
{
    service_name name_;
    std::string town_;
    team_name team_;
    std::vector<service_name> depends_on_;
    /// Whether a request without a mark may be sent more than once.
    bool repeatable_ = false;
    /// Total time of a request without a deadline of its own.
    duration deadline_ = std::chrono::seconds(10);
    /// Longest wait for a slot before a request is refused.
    duration queue_time_ = std::chrono::milliseconds(40);
    /// Largest number of waiting requests of all teams.
    int queue_limit_ = 2000;
    /// Retries allowed, as a share of fresh requests.
    int retry_percent_ = 10;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, town_, team_, depends_on_, repeatable_, deadline_,
                queue_time_, queue_limit_, retry_percent_);
    }
};

/// Everything that the accepted texts say, checked as a whole.
struct configuration
{
    std::map<zone_name, zone_rule> zones_;
    std::map<team_name, team_rule> teams_;
    std::map<service_name, service_rule> services_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(zones_, teams_, services_);
    }
};

} // namespace dandelioncrank
