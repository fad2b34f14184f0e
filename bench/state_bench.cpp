// Commit latency relative to synced appends on the same disk, catch-up time of
// a voter, and memory and snapshot size of the replicated state.
#include "benchmark_report.hpp"

#include "dandelioncrank/consensus/consensus_core.hpp"
#include "dandelioncrank/state/replicated_state.hpp"
#include "dandelioncrank/storage/voter_storage.hpp"

#include <QTemporaryDir>

#include <chrono>
#include <deque>
#include <memory>

using namespace dandelioncrank;
using namespace dandelioncrank::bench;
using namespace std::chrono_literals;

namespace {

using wall_clock = std::chrono::steady_clock;

double seconds_since(wall_clock::time_point begin)
{
    std::chrono::duration<double> elapsed = wall_clock::now() - begin;
    return elapsed.count();
}

state_command make_claim(int number)
{
    acquire_claim claim{"rota/key-" + std::to_string(number),
                        request_id("h1-123-" + std::to_string(number)),
                        host_name("h1"), static_cast<std::uint64_t>(number)};
    return {std::chrono::sys_seconds(1000h), claim};
}

state_command make_job(int number)
{
    job_record record;
    record.spec_.id_ = job_id("nightly-" + std::to_string(number));
    record.spec_.team_ = team_name("rota-planners");
    return {std::chrono::sys_seconds(1000h),
            put_job{zone_name("leon"), record, 0, true}};
}

/// Voters with on-disk storage in one process; messages are delivered
/// synchronously.
class local_cluster
{
  public:
    explicit local_cluster(int voters)
    {
        membership members;
        for (int i = 0; i < voters; ++i)
            members.voters_.insert(name(i));
        for (int i = 0; i < voters; ++i)
            add(i, members);
        now_ += 10s;
        cores_[0]->tick(now_);
        run_until_idle();
    }

    static voter_name name(int index)
    {
        return voter_name("h" + std::to_string(index) + ".0");
    }

    void propose(const state_command& command)
    {
        cores_[0]->propose(to_wire(command), now_);
    }

    /// Processes the output of all voters until none has any.
    void run_until_idle()
    {
        for (bool progressed = true; progressed;) {
            progressed = false;
            for (std::size_t i = 0; i < cores_.size(); ++i)
                progressed = process_output(i) || progressed;
        }
    }

    bool process_output(std::size_t index)
    {
        if (stopped_voter_ == static_cast<int>(index))
            return false;
        consensus_output output = cores_[index]->take_output();
        bool empty = !output.needs_sync() && output.messages_.empty() &&
                     output.committed_.empty() && !output.restore_;
        if (empty)
            return false;
        storages_[index]->store(output);
        if (output.restore_ && !output.restore_->state_.isEmpty())
            states_[index]->restore(output.restore_->state_);
        for (const log_entry& entry : output.committed_) {
            if (entry.kind_ == entry_kind::command)
                states_[index]->apply(from_wire<state_command>(entry.data_));
            ++applied_[index];
        }
        cores_[index]->persisted(output.last_index_, now_);
        for (const consensus_message& message : output.messages_) {
            int target = std::stoi(message.to_.str().substr(1));
            QByteArray bytes = to_wire(message);
            bytes_sent_ += static_cast<double>(bytes.size());
            if (target != stopped_voter_)
                cores_[static_cast<std::size_t>(target)]->receive(message,
                                                                  now_);
        }
        return true;
    }

    void advance_tick()
    {
        now_ += 200ms;
        for (auto& core : cores_)
            core->tick(now_);
        run_until_idle();
    }

    instant now_{1h};
    int stopped_voter_ = -1;
    double bytes_sent_ = 0;
    std::deque<QTemporaryDir> directories_;
    std::vector<std::unique_ptr<voter_storage>> storages_;
    std::vector<std::unique_ptr<consensus_core>> cores_;
    std::vector<std::unique_ptr<replicated_state>> states_;
    std::vector<int> applied_;

  private:
    void add(int index, const membership& members)
    {
        directories_.emplace_back();
        storages_.push_back(std::make_unique<voter_storage>(
            directories_.back().path().toStdString()));
        storages_.back()->initialize(name(index), members);
        cores_.push_back(std::make_unique<consensus_core>(
            storages_.back()->load(), consensus_timing{},
            static_cast<std::uint64_t>(index), now_));
        states_.push_back(std::make_unique<replicated_state>());
        applied_.push_back(0);
    }
};

double measure_synced_append_s()
{
    QTemporaryDir directory;
    record_log log(directory.filePath("log").toStdString(),
                   disk_calls::system());
    QByteArray payload(120, 'x');
    std::vector<double> times;
    for (int i = 0; i < 300; ++i) {
        auto begin = wall_clock::now();
        log.append(payload);
        log.sync();
        times.push_back(seconds_since(begin));
    }
    return percentile(times, 0.5);
}

void bench_commits()
{
    double append_s = measure_synced_append_s();
    for (int batch : {1, 16, 256}) {
        local_cluster cluster(3);
        std::vector<double> times;
        int rounds = batch == 1 ? 300 : 60;
        auto begin = wall_clock::now();
        for (int i = 0; i < rounds; ++i) {
            auto start = wall_clock::now();
            for (int j = 0; j < batch; ++j)
                cluster.propose(make_claim(i * batch + j));
            cluster.run_until_idle();
            times.push_back(seconds_since(start));
        }
        double commits_per_s = rounds * batch / seconds_since(begin);
        json_result("commits")
            .add("batch", batch)
            .add("commits_per_s", commits_per_s)
            .add("p50_ms", percentile(times, 0.5) * 1e3)
            .add("p99_ms", percentile(times, 0.99) * 1e3)
            .add("synced_append_p50_ms", append_s * 1e3)
            .add("p50_to_append", percentile(times, 0.5) / append_s)
            .add("bytes_per_commit_sent",
                 cluster.bytes_sent_ / (rounds * batch))
            .print();
    }
}

void bench_catch_up()
{
    for (bool by_snapshot : {false, true}) {
        local_cluster cluster(3);
        cluster.stopped_voter_ = 2;
        for (int i = 0; i < 1000; ++i) {
            cluster.propose(make_job(i));
            if (i % 50 == 0)
                cluster.run_until_idle();
        }
        cluster.run_until_idle();
        if (by_snapshot) {
            cluster.cores_[0]->compact(cluster.cores_[0]->status().commit_,
                                       cluster.states_[0]->snapshot());
            cluster.run_until_idle();
        }
        cluster.stopped_voter_ = -1;
        auto begin = wall_clock::now();
        while (cluster.cores_[2]->status().commit_ <
               cluster.cores_[0]->status().commit_)
            cluster.advance_tick();
        json_result("catch_up")
            .add("missed", 1000)
            .add("by", by_snapshot ? "snapshot" : "log")
            .add("ms", seconds_since(begin) * 1e3)
            .add("equal_state",
                 cluster.states_[2]->hash() == cluster.states_[0]->hash() ? 1
                                                                          : 0)
            .print();
    }
}

void bench_state_size()
{
    for (int count : {1000, 10000, 100000}) {
        for (bool jobs : {true, false}) {
            double before = allocated_bytes();
            auto state = std::make_unique<replicated_state>();
            auto begin = wall_clock::now();
            for (int i = 0; i < count; ++i)
                state->apply(jobs ? make_job(i) : make_claim(i));
            double apply = seconds_since(begin);
            double memory = allocated_bytes() - before;
            begin = wall_clock::now();
            auto size = static_cast<double>(state->snapshot().size());
            json_result("state_weight")
                .add("kind", jobs ? "jobs" : "claims")
                .add("count", count)
                .add("bytes_per_1000", memory / count * 1000)
                .add("snapshot_bytes_per_1000", size / count * 1000)
                .add("snapshot_ms", seconds_since(begin) * 1e3)
                .add("apply_us", apply / count * 1e6)
                .print();
        }
    }
}

} // namespace

int main()
{
    bench_commits();
    bench_catch_up();
    bench_state_size();
    return 0;
}
