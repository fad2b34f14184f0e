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

/// How the jobs of one queue are run.
struct queue_policy
{
    std::string name_;
    service_name service_;
    /// 0 goes first and may preempt others.
    int priority_ = 0;
    /// Runs of one task, or of one gang, that may fail before the job does.
    std::uint32_t attempts_ = 1;
    /// The job is on time within stretch x its longest chain + target.
    double stretch_ = 1.0;
    duration target_{};

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(name_, service_, priority_, attempts_, stretch_, target_);
    }
};

/// Where clients reach a queue.
struct queue_route
{
    std::string host_;
    std::string prefix_;
    /// Needs no key.
    bool is_public_ = false;
    queue_policy policy_;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(host_, prefix_, is_public_, policy_);
    }
};

struct team_rule
{
    std::set<std::string> keys_;
    /// Accelerators that the team's jobs of priority 0 can always have.
    std::int64_t guaranteed_accelerators_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(keys_, guaranteed_accelerators_);
    }
};

/// What a client's call shows for its right to a queue.
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

/// What a configuration says of a call.
struct access_decision
{
    access_verdict verdict_ = access_verdict::unknown_route;
    /// Lives as long as the configuration; null without a route.
    const queue_route* route_ = nullptr;
    /// Empty for an unknown key, which a public route allows.
    team_name team_;
};

/// One accepted configuration. The highest version is in force.
struct pool_config
{
    std::uint64_t version_ = 0;
    /// As the operator sent it, for reading back.
    std::string text_;
    std::vector<queue_route> routes_;
    std::map<team_name, team_rule> teams_;

    /// The route of the longest prefix of path under host.
    [[nodiscard]] const queue_route* find_route(const std::string& host,
                                                const std::string& path) const;
    [[nodiscard]] std::optional<team_name>
    find_team(const std::string& key) const;
    [[nodiscard]] access_decision authorize(const queue_access& access) const;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(version_, text_, routes_, teams_);
    }
};

} // namespace dandelioncrank::pool
