#pragma once

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/core/name.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace dandelioncrank::control {

/// Returns the host address of a voter. An identity has the form
/// "ADDRESS/SUFFIX"; a host that lost its disk returns with a new suffix.
[[nodiscard]] std::string address_of(const voter_name& voter);
[[nodiscard]] voter_name make_identity(const std::string& address,
                                       const std::string& suffix);

struct add_learner_change
{
    voter_name identity_;
};

struct promote_learner_change
{
    voter_name identity_;
};

struct replace_voter_change
{
    voter_name old_;
    voter_name new_;
};

struct remove_member_change
{
    voter_name identity_;
};

using membership_change =
    std::variant<add_learner_change, promote_learner_change,
                 replace_voter_change, remove_member_change>;

/// The leader's input for planning membership changes.
struct membership_view
{
    membership members_;
    voter_name self_;
    /// Time of the last hello of each control host.
    std::map<voter_name, instant> last_hello_at_;
    /// Time of each member's last response to the leader.
    std::map<voter_name, instant> last_response_at_;
    /// Availability zone of each control host, by address.
    std::map<std::string, zone_name> zones_;
    /// 2 f + 1, where f is the number of hosts that may fail at the same time.
    std::size_t target_voters_ = 3;
    /// Time after the loss of a host within which the group must become able to
    /// tolerate the next loss.
    duration catch_up_time_ = std::chrono::seconds(4);
    instant now_{};
};

/// Returns the next membership change, if one is due. A new host joins as a
/// learner. A host that lost its disk replaces its old identity. Learners are
/// promoted until the target number of voters is reached, with no zone holding
/// half of it. An unresponsive voter is replaced by a learner in time for the
/// next loss.
[[nodiscard]] std::optional<membership_change>
next_membership_change(const membership_view& view);

} // namespace dandelioncrank::control
