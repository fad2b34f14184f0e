#include "cluster_runs.hpp"

#include "fake_cluster.hpp"

#include <random>
#include <stdexcept>

namespace dandelioncrank::test {

namespace {

using namespace std::chrono_literals;

/// Runs clients against a cluster in which hosts crash, are partitioned,
/// transfer leadership and are replaced at random times.
void run_seed(std::uint64_t seed, consensus_fault fault, bool has_disk_threads)
{
    std::mt19937_64 random(seed);
    cluster_options options;
    options.seed_ = seed;
    options.voters_ = random() % 3 == 0 ? 5 : 3;
    options.fault_ = fault;
    options.lost_per_mille_ = random() % 2 == 0 ? 30 : 0;
    options.duplicated_per_mille_ = random() % 2 == 0 ? 30 : 0;
    options.mean_delay_ = std::chrono::milliseconds(1 + random() % 40);
    options.snapshot_threshold_entries_ = 10 + random() % 60;
    options.has_disk_threads_ = has_disk_threads;
    fake_cluster cluster(options);
    instant begin = cluster.now();
    instant end = begin + 15s;
    for (int client = 0; client < 3; ++client)
        cluster.start_client(client, end);
    auto moment = [&] {
        return begin + std::chrono::milliseconds(random() % 14'000);
    };
    for (int i = 0; i < 6; ++i) {
        auto kind = random() % 6;
        auto pick = static_cast<int>(random() % options.voters_);
        auto other = static_cast<int>(random() % options.voters_);
        auto length = std::chrono::milliseconds(random() % 4000);
        instant when = moment();
        if (kind == 0) {
            cluster.at(when, [&cluster, pick] { cluster.crash(pick); });
            cluster.at(when + length,
                       [&cluster, pick] { cluster.restart(pick); });
        } else if (kind == 1) {
            // Crashes the leader of that time.
            cluster.at(when, [&cluster, length] {
                int leader_index = cluster.leader();
                if (leader_index < 0)
                    return;
                cluster.crash(leader_index);
                cluster.at(cluster.now() + length, [&cluster, leader_index] {
                    cluster.restart(leader_index);
                });
            });
        } else if (kind == 2) {
            cluster.at(when, [&cluster, pick, other] {
                cluster.block_link(pick, other);
            });
            cluster.at(when + length, [&cluster] { cluster.heal(); });
        } else if (kind == 3) {
            cluster.at(when, [&cluster] {
                int leader_index = cluster.leader();
                for (int host = 0; host < cluster.hosts(); ++host) {
                    if (leader_index < 0 || host == leader_index)
                        continue;
                    cluster.block_link(host, leader_index);
                    cluster.block_link(leader_index, host);
                }
            });
            cluster.at(when + length, [&cluster] { cluster.heal(); });
        } else if (kind == 4) {
            cluster.at(when, [&cluster] { cluster.transfer_leadership(); });
        } else {
            cluster.at(when, [&cluster] {
                for (int host = 0; host < cluster.hosts(); ++host)
                    cluster.crash(host);
                for (int host = 0; host < cluster.hosts(); ++host)
                    cluster.at(cluster.now() + 50ms * (host + 1),
                               [&cluster, host] { cluster.restart(host); });
            });
        }
    }
    // In half of the runs one voter is replaced by a new host; the replacement
    // is retried every 250 ms for up to 10 s.
    if (random() % 2 == 0) {
        auto lost = static_cast<int>(random() % options.voters_);
        cluster.at(begin + 3s, [&cluster, lost] {
            int fresh = cluster.add_host();
            cluster.restart(fresh);
            for (int i = 0; i < 40; ++i) {
                cluster.at(cluster.now() + 250ms * i, [&cluster, lost, fresh] {
                    if (!cluster.replacement_done(lost) &&
                        cluster.is_voter(lost))
                        cluster.replace(lost, fresh);
                });
            }
        });
    }
    cluster.run_until(end);
    cluster.verify_convergence();
}

} // namespace

std::optional<std::string> find_violation(std::uint64_t seed,
                                          consensus_fault fault)
{
    try {
        for (bool has_disk_threads : {false, true})
            run_seed(seed, fault, has_disk_threads);
        return std::nullopt;
    } catch (const std::logic_error& error) {
        return error.what();
    }
}

} // namespace dandelioncrank::test
