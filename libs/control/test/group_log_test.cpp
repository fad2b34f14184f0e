// Tests the log of a group of one control host, which is the leader.
#include "dandelioncrank/control/membership_planner.hpp"
#include "event_loop.hpp"
#include "group_log.hpp"

#include <QTemporaryDir>

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::control;
using namespace std::chrono_literals;

namespace {

class leading_log
{
  public:
    leading_log()
        : replica_(folder_.path().toStdString(), make_origin(), 1, steady_now(),
                   [](const consensus_message&) {})
    {
        replica_.tick(steady_now() + 1min);
        replica_.tick(steady_now());
        REQUIRE(replica_.is_leader());
    }

    [[nodiscard]] term_number term() const { return replica_.status().term_; }
    [[nodiscard]] std::size_t worker_count() const
    {
        return replica_.machine().state().workers().size();
    }

    /// Runs until everything that was queued before is applied.
    void flush()
    {
        bool is_done = false;
        log_.read_barrier([&is_done](bool) { is_done = true; });
        REQUIRE(run_until([&] { return is_done; }));
    }

    static pool::pool_batch make_batch(std::size_t count)
    {
        pool::pool_batch batch;
        for (std::size_t i = 0; i < count; ++i) {
            pool::worker_info info;
            info.name_ = worker_name("w" + std::to_string(i));
            info.incarnation_ = 1;
            info.address_ = "10.0.0.1:" + std::to_string(i + 1);
            batch.emplace_back(pool::put_worker{info});
        }
        return batch;
    }

  private:
    static replica_bootstrap make_origin()
    {
        test_application();
        replica_bootstrap origin;
        origin.identity_ = make_identity("127.0.0.1:1", "0");
        origin.members_.voters_.insert(origin.identity_);
        return origin;
    }

    QTemporaryDir folder_;
    metric_registry metrics_;
    replica<pool_state_machine> replica_;
    activity_meter meter_{control_activity_names()};

  public:
    group_log log_{replica_, metrics_, meter_};
};

} // namespace

// A command that its owner had queued could be proposed by the next owner, for
// which it was a contrary decision without a trace (beside review/6).
TEST_CASE("queued commands are proposed only in the term of their owner",
          "[group_log]")
{
    leading_log leader;
    bool is_outdated = GENERATE(false, true);
    bool is_settled = false;
    leader.log_.enqueue_all(leading_log::make_batch(2),
                            leader.term() - (is_outdated ? 1 : 0),
                            [&is_settled] { is_settled = true; });
    leader.flush();
    CHECK(leader.worker_count() == (is_outdated ? 0 : 2));
    CHECK(is_settled != is_outdated);
}

TEST_CASE("a batch is settled once, after its last command", "[group_log]")
{
    leading_log leader;
    std::vector<std::size_t> applied;
    // A configuration shares its entry with no other command, so this batch
    // has three entries.
    pool::pool_batch batch = leading_log::make_batch(2);
    pool::pool_config config;
    config.version_ = 1;
    batch.insert(batch.begin() + 1, pool::put_config{config});
    leader.log_.enqueue_all(std::move(batch), leader.term(),
                            [&] { applied.push_back(leader.worker_count()); });
    leader.flush();
    CHECK(applied == std::vector<std::size_t>{2});
}
