#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelioncrank {

/// Locality constraint on the accelerators of a block or gang.
enum class adjacency
{
    worker,
    rack,
    any
};

[[nodiscard]] std::string to_text(adjacency value);
[[nodiscard]] std::optional<adjacency> parse_adjacency(const std::string& text);

/// Accelerator blocks guaranteed to a team in one availability zone.
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

/// Quotas, guarantees and weight of one team, from the budget text.
struct team_rule
{
    team_name name_;
    std::vector<guarantee> guarantees_;
    /// Fair-share weight for request slots, relative to other teams.
    int weight_ = 1;
    /// Maximum number of queued jobs per availability zone.
    int queued_jobs_ = 1000;
    /// Maximum job submission rate per availability zone.
    int jobs_per_minute_ = 6000;
    /// Maximum number of queued requests per service.
    int queued_requests_ = 1000;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, guarantees_, weight_, queued_jobs_, jobs_per_minute_,
                queued_requests_);
    }
};

/// One availability zone and its planned workers.
struct zone_rule
{
    zone_name name_;
    std::string region_;
    int racks_ = 0;
    int workers_per_rack_ = 0;
    /// Accelerators per worker.
    int accelerators_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, region_, racks_, workers_per_rack_, accelerators_);
    }
};

/// One service of a town.
struct service_rule
{
    service_name name_;
    std::string town_;
    team_name team_;
    std::vector<service_name> depends_on_;
    /// Whether a request may be sent more than once if it does not say so
    /// itself.
    bool repeatable_ = false;
    /// Default total deadline of a request.
    duration deadline_ = std::chrono::seconds(10);
    /// Maximum time in the queue before a request is rejected.
    duration queue_time_ = std::chrono::milliseconds(40);
    /// Maximum number of queued requests over all teams.
    int queue_limit_ = 2000;
    /// Retry budget, as a percentage of first attempts.
    int retry_percent_ = 10;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, town_, team_, depends_on_, repeatable_, deadline_,
                queue_time_, queue_limit_, retry_percent_);
    }
};

/// Validated content of all accepted texts.
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
