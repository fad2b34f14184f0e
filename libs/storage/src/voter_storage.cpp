#include "dandelioncrank/storage/voter_storage.hpp"

#include "dandelioncrank/storage/storage_error.hpp"

#include <algorithm>
#include <utility>

namespace dandelioncrank {

namespace {

/// First record of each segment: index and term of the entry before it.
struct segment_base
{
    log_index index_ = 0;
    term_number term_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(index_, term_);
    }
};

struct truncation
{
    log_index from_ = 0;

    template <class Archive>
    void fields(Archive& archive)
    {
        archive(from_);
    }
};

using log_record =
    std::variant<segment_base, hard_state, truncation, log_entry>;

/// Encodes a file that holds one checksummed record. A snapshot may be large,
/// so its bytes are not copied.
std::vector<QByteArray> encode_file(const QByteArray& payload)
{
    return {record_log::encode_header(payload), payload};
}

QByteArray decode_file(QByteArray bytes, const std::string& file)
{
    auto payload = record_log::decode_record(std::move(bytes));
    if (!payload)
        throw storage_error(file, 0,
                            "file is truncated or its checksum does not match",
                            "replace this voter with a new one");
    return *std::move(payload);
}

} // namespace

voter_storage::voter_storage(std::string path, disk_calls calls)
    : directory_(std::move(path), std::move(calls))
{
    if (auto bytes = directory_.read_file("identity"))
        identity_ = from_wire<voter_name>(
            decode_file(*std::move(bytes), directory_.file_path("identity")));
    if (auto bytes = directory_.read_file("snapshot"))
        snapshot_ = from_wire<log_snapshot>(
            decode_file(*std::move(bytes), directory_.file_path("snapshot")));
    if (auto bytes = directory_.read_file("segment"))
        segment_ = from_wire<std::uint64_t>(
            decode_file(*std::move(bytes), directory_.file_path("segment")));
    open_log();
}

voter_storage::~voter_storage() = default;

std::string voter_storage::segment_name(std::uint64_t number) const
{
    return "log-" + std::to_string(number);
}

void voter_storage::open_log()
{
    log_ = std::make_unique<record_log>(
        directory_.file_path(segment_name(segment_)), directory_.calls());
    segment_base base;
    for (const QByteArray& bytes : log_->records()) {
        auto record = from_wire<log_record>(bytes);
        if (const auto* item = std::get_if<segment_base>(&record))
            base = *item;
        if (const auto* item = std::get_if<hard_state>(&record))
            hard_state_ = *item;
        if (const auto* item = std::get_if<truncation>(&record)) {
            std::erase_if(entries_, [item](const log_entry& entry) {
                return entry.index_ >= item->from_;
            });
        }
        if (const auto* item = std::get_if<log_entry>(&record))
            entries_.push_back(*item);
    }
    log_->release_records();
    // A crash between writing a snapshot and starting its segment leaves the
    // previous segment. Its entries are kept only if they are contiguous with
    // this snapshot.
    bool contiguous =
        base.index_ == snapshot_.index_ && base.term_ == snapshot_.term_;
    for (const log_entry& entry : entries_) {
        contiguous = contiguous || (entry.index_ == snapshot_.index_ &&
                                    entry.term_ == snapshot_.term_);
    }
    std::erase_if(entries_, [&](const log_entry& entry) {
        return !contiguous || entry.index_ <= snapshot_.index_;
    });
}

void voter_storage::initialize(const voter_name& identity,
                               const membership& members)
{
    identity_ = identity;
    snapshot_.members_ = members;
    directory_.replace_file("snapshot", encode_file(to_wire(snapshot_)));
    // The identity is written last; it marks the directory as initialized.
    directory_.replace_file("identity", encode_file(to_wire(identity_)));
}

persistent_state voter_storage::load()
{
    persistent_state result{identity_, hard_state_, snapshot_, entries_};
    snapshot_.state_ = {};
    return result;
}

void voter_storage::store(const consensus_output& output)
{
    if (!output.needs_sync())
        return;
    if (output.hard_state_)
        hard_state_ = *output.hard_state_;
    if (output.truncate_from_) {
        std::erase_if(entries_, [&](const log_entry& entry) {
            return entry.index_ >= *output.truncate_from_;
        });
    }
    entries_.insert(entries_.end(), output.entries_.begin(),
                    output.entries_.end());
    if (output.snapshot_) {
        // The new segment contains all members of this output.
        start_segment(*output.snapshot_);
        return;
    }
    if (output.hard_state_)
        log_->append(to_wire(log_record(*output.hard_state_)));
    if (output.truncate_from_)
        log_->append(to_wire(log_record(truncation{*output.truncate_from_})));
    for (const log_entry& entry : output.entries_)
        log_->append(to_wire(log_record(entry)));
    log_->sync();
}

void voter_storage::start_segment(const log_snapshot& snapshot)
{
    directory_.replace_file("snapshot", encode_file(to_wire(snapshot)));
    snapshot_.index_ = snapshot.index_;
    snapshot_.term_ = snapshot.term_;
    snapshot_.members_ = snapshot.members_;
    std::erase_if(entries_, [&](const log_entry& entry) {
        return entry.index_ <= snapshot.index_;
    });
    std::uint64_t old = segment_++;
    // A file of this name can only be left over from a crash in this function.
    directory_.remove_file(segment_name(segment_));
    auto next = std::make_unique<record_log>(
        directory_.file_path(segment_name(segment_)), directory_.calls());
    next->append(
        to_wire(log_record(segment_base{snapshot.index_, snapshot.term_})));
    next->append(to_wire(log_record(hard_state_)));
    for (const log_entry& entry : entries_)
        next->append(to_wire(log_record(entry)));
    next->sync();
    directory_.replace_file("segment", encode_file(to_wire(segment_)));
    log_ = std::move(next);
    directory_.remove_file(segment_name(old));
}

const log_recovery& voter_storage::recovery() const
{
    return log_->recovery();
}

} // namespace dandelioncrank
