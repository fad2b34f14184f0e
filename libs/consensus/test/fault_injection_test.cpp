#include "cluster_runs.hpp"
#include "fake_cluster.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::test;
using namespace std::chrono_literals;

namespace {

constexpr instant start{1h};

/// First of 60 seeds whose random run detects the fault; 0 if none does.
std::uint64_t first_detecting_seed(consensus_fault fault)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        if (find_violation(seed, fault))
            return seed;
    }
    return 0;
}

/// Reads at a former leader that has transferred leadership and is then
/// partitioned from the other hosts.
bool detects_stale_read(consensus_fault fault)
{
    fake_cluster cluster({.seed_ = 11, .voters_ = 3, .fault_ = fault});
    cluster.start_client(0, start + 8s);
    cluster.run_until(start + 5s);
    int old_leader = cluster.leader();
    cluster.transfer_leadership();
    for (int host = 0; host < 3; ++host) {
        cluster.block_link(host, old_leader);
        cluster.block_link(old_leader, host);
    }
    try {
        for (int i = 0; i < 12; ++i) {
            cluster.run_until(cluster.now() + 50ms);
            cluster.read_at(old_leader);
        }
        cluster.run_until(start + 8s);
        cluster.verify_convergence();
    } catch (const std::logic_error&) {
        return true;
    }
    return false;
}

/// Replaces a voter whose disk is lost by a host that never starts. True if
/// the remaining voters then accept no more changes.
bool blocks_on_absent_replacement(consensus_fault fault)
{
    fake_cluster cluster({.seed_ = 12, .voters_ = 3, .fault_ = fault});
    cluster.start_client(0, start + 20s);
    cluster.run_until(start + 5s);
    int lost = (cluster.leader() + 1) % 3;
    cluster.lose_disk(lost);
    int absent = cluster.add_host();
    cluster.replace(lost, absent);
    cluster.run_until(start + 12s);
    std::size_t before = cluster.accepted();
    cluster.run_until(start + 20s);
    return cluster.accepted() == before;
}

} // namespace

TEST_CASE("random runs detect injected faults", "[consensus_faults]")
{
    struct named_fault
    {
        consensus_fault fault_;
        const char* name_;
    };
    for (const named_fault& item : {
             named_fault{consensus_fault::vote_not_synced, "vote not synced"},
             named_fault{consensus_fault::append_not_synced,
                         "append not synced"},
             named_fault{consensus_fault::skip_vote_log_check,
                         "vote without log check"},
             named_fault{consensus_fault::skip_previous_entry_check,
                         "append without check of the previous entry"},
             named_fault{consensus_fault::commit_without_quorum,
                         "commit without a quorum"},
             named_fault{consensus_fault::concurrent_membership_changes,
                         "concurrent membership changes"},
             named_fault{consensus_fault::ignore_previous_vote,
                         "two votes in one term"},
             named_fault{consensus_fault::count_learners_in_quorum,
                         "learners counted in the quorum"},
         }) {
        INFO(item.name_);
        CHECK(first_detecting_seed(item.fault_) > 0);
    }
}

TEST_CASE("a read without a quorum is detected", "[consensus_faults]")
{
    CHECK_FALSE(detects_stale_read(consensus_fault::none));
    CHECK(detects_stale_read(consensus_fault::read_without_quorum));
}

TEST_CASE("a learner that has not caught up is not promoted",
          "[consensus_faults]")
{
    CHECK_FALSE(blocks_on_absent_replacement(consensus_fault::none));
    CHECK(blocks_on_absent_replacement(consensus_fault::skip_learner_catch_up));
}
