#include "dandelioncrank/control/membership_planner.hpp"

namespace dandelioncrank::control {

namespace {

using namespace std::chrono_literals;

// A control host whose last hello is older is not live.
constexpr duration liveness_timeout = 1500ms;
// Percentage of the catch-up time after which an unresponsive voter is replaced
// by a learner. The group must tolerate the next loss when the catch-up time is
// over, and the election and the membership change take their part of it.
constexpr int replace_after_percent = 50;
// Time without a response after which a replacement is given up.
constexpr duration learner_timeout = 3s;

bool is_unresponsive(const membership_view& view, const voter_name& identity,
                     duration timeout)
{
    auto last_response = view.last_response_at_.find(identity);
    return last_response != view.last_response_at_.end() &&
           view.now_ - last_response->second > timeout;
}

bool is_live(const membership_view& view, const voter_name& identity)
{
    auto last_hello = view.last_hello_at_.find(identity);
    return last_hello != view.last_hello_at_.end() &&
           view.now_ - last_hello->second < liveness_timeout;
}

/// Returns the current identity of a member's host if it differs from the
/// member's, which means that the member's disk was lost.
std::optional<voter_name> replacement_identity(const membership_view& view,
                                               const voter_name& member)
{
    for (const auto& [identity, at] : view.last_hello_at_) {
        bool same_host = address_of(identity) == address_of(member);
        if (same_host && identity != member && is_live(view, identity))
            return identity;
    }
    return std::nullopt;
}

bool is_usable_learner(const membership_view& view, const voter_name& identity)
{
    return is_live(view, identity) &&
           !is_unresponsive(view, identity, liveness_timeout);
}

/// Counts the voters in the zone of a host, without the voter to be replaced.
std::size_t voters_in_same_zone(const membership_view& view,
                                const voter_name& identity,
                                const voter_name* replaced_voter)
{
    auto zone = view.zones_.find(address_of(identity));
    std::size_t count = 0;
    for (const voter_name& voter : view.members_.voters_) {
        if (replaced_voter != nullptr && voter == *replaced_voter)
            continue;
        auto other = view.zones_.find(address_of(voter));
        bool known = zone != view.zones_.end() && other != view.zones_.end();
        count += known && other->second == zone->second;
    }
    return count;
}

/// Returns the learner whose promotion spreads the voters best over the zones;
/// none if its zone would then hold half of the target number of voters.
std::optional<voter_name> best_learner(const membership_view& view,
                                       const voter_name* replaced_voter)
{
    std::optional<voter_name> best;
    std::size_t fewest = view.target_voters_ / 2;
    for (const voter_name& learner : view.members_.learners_) {
        if (!is_usable_learner(view, learner))
            continue;
        std::size_t zone_voters =
            voters_in_same_zone(view, learner, replaced_voter);
        if (zone_voters < fewest) {
            fewest = zone_voters;
            best = learner;
        }
    }
    return best;
}

} // namespace

std::string address_of(const voter_name& voter)
{
    return voter.str().substr(0, voter.str().rfind('/'));
}

voter_name make_identity(const std::string& address, const std::string& suffix)
{
    return voter_name(address + '/' + suffix);
}

std::optional<membership_change>
next_membership_change(const membership_view& view)
{
    const membership& members = view.members_;
    if (members.replacement_) {
        const voter_name& candidate = members.replacement_->new_;
        bool has_failed = replacement_identity(view, candidate) ||
                          is_unresponsive(view, candidate, learner_timeout);
        if (!members.voters_.contains(candidate) && has_failed)
            return remove_member_change{candidate};
        return std::nullopt;
    }
    for (const voter_name& voter : members.voters_) {
        if (auto candidate = replacement_identity(view, voter);
            candidate && voter != view.self_)
            return replace_voter_change{voter, *candidate};
    }
    for (const voter_name& learner : members.learners_) {
        if (replacement_identity(view, learner))
            return remove_member_change{learner};
    }
    for (const auto& [identity, at] : view.last_hello_at_) {
        bool is_member = members.voters_.contains(identity) ||
                         members.learners_.contains(identity);
        if (!is_member && is_live(view, identity))
            return add_learner_change{identity};
    }
    if (members.voters_.size() < view.target_voters_) {
        if (auto candidate = best_learner(view, nullptr))
            return promote_learner_change{*candidate};
    }
    for (const voter_name& voter : members.voters_) {
        duration timeout = view.catch_up_time_ * replace_after_percent / 100;
        if (!is_unresponsive(view, voter, timeout))
            continue;
        if (auto candidate = best_learner(view, &voter))
            return replace_voter_change{voter, *candidate};
    }
    return std::nullopt;
}

} // namespace dandelioncrank::control
