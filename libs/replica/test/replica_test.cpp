#include "dandelioncrank/replica/replica.hpp"

#include <QDir>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

struct echo_machine
{
    using reply = QByteArray;

    reply apply(const QByteArray& command) { return command; }
    [[nodiscard]] QByteArray snapshot() const { return {}; }
    void restore(const QByteArray&) {}
};

/// Replica "a" of three voters; the test plays the other two.
class replica_under_test
{
  public:
    void elect()
    {
        sent_.clear();
        while (!replica_.is_leader()) {
            now_ += 10ms;
            replica_.tick(now_);
            for (const consensus_message& message : std::exchange(sent_, {}))
                grant_vote(message);
        }
    }

    void propose(const QByteArray& command)
    {
        replica_.propose(
            command, now_,
            [this, command](commit_result result, const auto&) {
                results_[command].push_back(result);
            },
            [this, command] { settled_.push_back(command); });
    }

    /// Stays the leader while nothing is committed.
    void lead_without_commits(duration time)
    {
        for (duration passed{}; passed < time; passed += 100ms) {
            wait(100ms);
            receive("b", status().term_, append_reply{true, 1, 0});
        }
    }

    void receive(const std::string& from, term_number term,
                 consensus_payload payload)
    {
        replica_.receive({voter_name(from), self_, term, std::move(payload)},
                         now_);
    }

    void wait(duration time)
    {
        now_ += time;
        replica_.tick(now_);
    }

    [[nodiscard]] replica_status status() const { return replica_.status(); }

    /// Bytes of all files in the data directory.
    [[nodiscard]] qint64 disk_bytes() const
    {
        qint64 sum = 0;
        for (const QFileInfo& file :
             QDir(folder_.path()).entryInfoList(QDir::Files))
            sum += file.size();
        return sum;
    }

    std::map<QByteArray, std::vector<commit_result>> results_;
    std::vector<QByteArray> settled_;

  private:
    void grant_vote(const consensus_message& message)
    {
        const auto* vote = std::get_if<vote_request>(&message.payload_);
        if (vote != nullptr)
            receive(message.to_.str(), message.term_,
                    vote_reply{true, vote->pre_vote_, message.term_});
    }

    voter_name self_{"a"};
    QTemporaryDir folder_;
    instant now_ = instant(1h);
    std::vector<consensus_message> sent_;
    replica<echo_machine> replica_{
        folder_.path().toStdString(),
        {self_, {{self_, voter_name("b"), voter_name("c")}, {}, {}, {}}},
        1,
        now_,
        [this](const consensus_message& message) { sent_.push_back(message); }};
};

} // namespace

// Regression: a proposal whose place in the log was taken by a later one of the
// same replica got no result, and its caller waited forever.
TEST_CASE("a proposal replaced by a later one of the same replica has a result",
          "[replica]")
{
    replica_under_test tested;
    tested.elect();
    tested.propose("first");
    tested.propose("second");
    REQUIRE(tested.status().last_index_ == 3);
    // Another leader, which has none of these entries, replaces them.
    term_number term = tested.status().term_ + 1;
    tested.receive("b", term,
                   append_request{0, 0, {{1, term, entry_kind::no_op, {}}}});
    REQUIRE(tested.status().last_index_ == 1);
    tested.elect();
    tested.propose("third");
    REQUIRE(tested.status().last_index_ == 3);
    tested.receive("b", tested.status().term_, append_reply{true, 3, 0});
    // Longer than any proposal waits.
    tested.wait(10s);
    CHECK(tested.results_["first"] == std::vector{commit_result::rejected});
    CHECK(tested.results_["second"] == std::vector{commit_result::unknown});
    CHECK(tested.results_["third"] == std::vector{commit_result::committed});
}

// The log was compacted by its number of entries alone: 1,600 configurations of
// 124 KB took 265 MB of memory and 243 MB of the disk (review/3).
TEST_CASE("a log of large entries is compacted by its size", "[replica]")
{
    constexpr int entries = 100;
    constexpr qsizetype entry_bytes = 256 * 1024;
    replica_under_test tested;
    tested.elect();
    for (int i = 0; i < entries; ++i) {
        tested.propose(
            QByteArray(entry_bytes, static_cast<char>('a' + i % 20)));
        tested.receive("b", tested.status().term_,
                       append_reply{true, tested.status().last_index_, 0});
    }
    REQUIRE(tested.status().commit_ > entries);
    CHECK(tested.disk_bytes() < entries * entry_bytes / 2);
}

// A time-out was taken for the end of a proposal, which was committed later all
// the same (review/6).
TEST_CASE("a proposal is settled when it is applied, not when its time is over",
          "[replica]")
{
    replica_under_test tested;
    tested.propose("too early");
    CHECK(tested.settled_ == std::vector<QByteArray>{"too early"});
    tested.settled_.clear();
    tested.elect();
    tested.propose("first");
    tested.propose("second");
    tested.lead_without_commits(4s);
    REQUIRE(tested.status().role_ == replica_role::leader);
    CHECK(tested.results_["first"] == std::vector{commit_result::unknown});
    CHECK(tested.settled_.empty());
    SECTION("it is committed")
    {
        tested.receive("b", tested.status().term_, append_reply{true, 3, 0});
        CHECK(tested.settled_ == std::vector<QByteArray>{"first", "second"});
        // Each answer is given once.
        CHECK(tested.results_["first"] == std::vector{commit_result::unknown});
    }
    SECTION("another leader has a snapshot beyond it")
    {
        term_number term = tested.status().term_ + 1;
        log_snapshot snapshot;
        snapshot.index_ = 9;
        snapshot.term_ = term;
        snapshot.members_ = tested.status().members_;
        tested.receive("b", term, snapshot_request{snapshot});
        REQUIRE(tested.status().commit_ == 9);
        CHECK(tested.settled_.empty());
    }
}
