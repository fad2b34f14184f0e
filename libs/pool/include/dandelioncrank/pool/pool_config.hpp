#pragma once

#include "dandelioncrank/core/name.hpp"
#include "dandelioncrank/core/time.hpp"
#include "dandelioncrank/core/wire.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelioncrank::pool {

/// A queue as its clients know it: the host and the prefix of the paths of
/// their calls. The name of its route is only the operators' label.
struct queue_address
{
    std::string host_;
    std::string prefix_;

    [[nodiscard]] bool empty() const
    {
        return host_.empty() && prefix_.empty();
    }

    auto operator<=>(const queue_address&) const = default;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, prefix_);
    }
};

/// Formats a queue for the log: HOST followed by PREFIX.
[[nodiscard]] std::string to_text(const queue_address& value);

/// Scheduling policy for the jobs of one queue.
struct queue_policy
{
    std::string name_;
    service_name service_;
    /// 0 is the highest priority and may preempt others.
    int priority_ = 0;
    /// Failed runs of one task, or of one gang, after which the job fails.
    std::uint32_t attempts_ = 1;
    /// A job is on time if it ends within stretch * critical path + target.
    double stretch_ = 1.0;
    duration target_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, service_, priority_, attempts_, stretch_, target_);
    }
};

/// Maps a host and path prefix to a queue.
struct queue_route
{
    std::string host_;
    std::string prefix_;
    /// No key is required.
    bool is_public_ = false;
    queue_policy policy_;

    [[nodiscard]] queue_address address() const { return {host_, prefix_}; }
    /// Whether the path to a job names another queue, which lies below this
    /// one and has no route.
    [[nodiscard]] bool is_below(const std::string& path, const job_id& id) const
    {
        return path.ends_with(id.str()) &&
               path.size() > prefix_.size() + id.str().size();
    }

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, prefix_, is_public_, policy_);
    }
};

struct team_rule
{
    std::set<std::string> keys_;
    /// Accelerators guaranteed to the team's jobs of priority 0.
    std::int64_t guaranteed_accelerators_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(keys_, guaranteed_accelerators_);
    }
};

/// Keys of teams, by name.
using team_keys = std::map<team_name, std::set<std::string>>;

/// What a client's call presents to get access to a queue.
struct queue_access
{
    std::string host_;
    std::string path_;
    std::string key_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, path_, key_);
    }
};

enum class access_verdict
{
    granted,
    unknown_route,
    unknown_key
};

/// Result of the authorization of a call.
struct access_decision
{
    access_verdict verdict_ = access_verdict::unknown_route;
    /// Valid as long as the configuration; null if no route matches.
    const queue_route* route_ = nullptr;
    /// Empty for an unknown key, which only public routes allow.
    team_name team_;
};

/// One accepted configuration. The highest version is in force.
struct pool_config
{
    std::uint64_t version_ = 0;
    /// Original text from the operator, for reading back.
    std::string text_;
    std::vector<queue_route> routes_;
    std::map<team_name, team_rule> teams_;
    /// Services whose workers start whatever they are told to, beyond their
    /// capacity.
    std::set<service_name> unguarded_services_;

    /// Returns the route of host with the longest matching prefix of path.
    [[nodiscard]] const queue_route* find_route(const std::string& host,
                                                const std::string& path) const;
    /// Returns the route with a name; null if there is none.
    [[nodiscard]] const queue_route*
    find_route_named(const std::string& name) const;
    [[nodiscard]] std::optional<team_name>
    find_team(const std::string& key) const;
    [[nodiscard]] access_decision authorize(const queue_access& access) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, text_, routes_, teams_);
        archive.appended(unguarded_services_);
    }
};

/// Returns the teams that go on under another name in a configuration, with
/// that name. A key belongs to one team, and clients know their team by it.
[[nodiscard]] std::map<team_name, team_name>
find_renamed_teams(const team_keys& earlier, const pool_config& config);

} // namespace dandelioncrank::pool
