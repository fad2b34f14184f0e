#include "dandelioncrank/storage/storage_error.hpp"
#include "dandelioncrank/storage/voter_storage.hpp"

#include <QDir>
#include <QFile>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <random>

using namespace dandelioncrank;

namespace {

log_entry make_entry(log_index index, term_number term)
{
    return {index, term, entry_kind::command,
            "entry" + QByteArray::number(qulonglong(index))};
}

membership one_voter()
{
    membership members;
    members.voters_.insert(voter_name("h.0"));
    return members;
}

} // namespace

TEST_CASE("stored state is read back after a restart", "[voter_storage]")
{
    QTemporaryDir directory;
    std::string path = directory.path().toStdString();
    {
        voter_storage storage(path);
        CHECK_FALSE(storage.has_identity());
        storage.initialize(voter_name("h.0"), one_voter());
        consensus_output output;
        output.hard_state_ = hard_state{3, voter_name("h.0")};
        output.entries_ = {make_entry(1, 1), make_entry(2, 1)};
        storage.store(output);
        consensus_output change;
        change.truncate_from_ = 2;
        change.entries_ = {make_entry(2, 3), make_entry(3, 3)};
        storage.store(change);
    }
    voter_storage storage(path);
    REQUIRE(storage.has_identity());
    persistent_state state = storage.load();
    CHECK(state.self_ == voter_name("h.0"));
    CHECK(state.hard_state_.term_ == 3);
    CHECK(state.snapshot_.members_.voters_.size() == 1);
    REQUIRE(state.entries_.size() == 3);
    CHECK(state.entries_[1].term_ == 3);
}

TEST_CASE("a snapshot replaces the log entries that it covers",
          "[voter_storage]")
{
    QTemporaryDir directory;
    std::string path = directory.path().toStdString();
    {
        voter_storage storage(path);
        storage.initialize(voter_name("h.0"), one_voter());
        consensus_output output;
        for (log_index i = 1; i <= 5; ++i)
            output.entries_.push_back(make_entry(i, 1));
        storage.store(output);
        consensus_output compacted;
        compacted.snapshot_ = log_snapshot{3, 1, one_voter(), "state"};
        storage.store(compacted);
    }
    voter_storage storage(path);
    persistent_state state = storage.load();
    CHECK(state.snapshot_.state_ == "state");
    REQUIRE(state.entries_.size() == 2);
    CHECK(state.entries_[0].index_ == 4);
    CHECK(QDir(directory.path()).entryList({"log-*"}).size() == 1);
}

TEST_CASE("entries that do not continue a snapshot are discarded",
          "[voter_storage]")
{
    QTemporaryDir directory;
    std::string path = directory.path().toStdString();
    {
        voter_storage storage(path);
        storage.initialize(voter_name("h.0"), one_voter());
        consensus_output output;
        for (log_index i = 1; i <= 5; ++i)
            output.entries_.push_back(make_entry(i, 1));
        storage.store(output);
    }
    // State after a crash between the snapshot and its new segment.
    {
        data_directory raw(path);
        log_snapshot snapshot{3, 2, one_voter(), "state"};
        raw.replace_file("snapshot",
                         record_log::encode_record(to_wire(snapshot)));
    }
    voter_storage storage(path);
    CHECK(storage.load().entries_.empty());
}

TEST_CASE("a corrupt snapshot is rejected", "[voter_storage]")
{
    QTemporaryDir directory;
    std::string path = directory.path().toStdString();
    {
        voter_storage storage(path);
        storage.initialize(voter_name("h.0"), one_voter());
    }
    QFile file(directory.filePath("snapshot"));
    REQUIRE(file.open(QIODevice::ReadWrite));
    file.seek(20);
    file.write("X");
    file.close();
    CHECK_THROWS_AS(voter_storage(path), storage_error);
}

TEST_CASE("a full disk during a snapshot leaves the previous state",
          "[voter_storage]")
{
    QTemporaryDir directory;
    std::string path = directory.path().toStdString();
    bool full = false;
    disk_calls calls = disk_calls::system();
    calls.write_ = [&](int descriptor, const void* bytes,
                       std::size_t size) -> ssize_t {
        if (!full)
            return disk_calls::system().write_(descriptor, bytes, size);
        errno = ENOSPC;
        return -1;
    };
    {
        voter_storage storage(path, calls);
        storage.initialize(voter_name("h.0"), one_voter());
        consensus_output output;
        output.entries_ = {make_entry(1, 1), make_entry(2, 1)};
        storage.store(output);
        full = true;
        consensus_output compacted;
        compacted.snapshot_ = log_snapshot{2, 1, one_voter(), "state"};
        CHECK_THROWS_AS(storage.store(compacted), storage_error);
    }
    voter_storage storage(path);
    CHECK(storage.load().entries_.size() == 2);
}
