// Decodes arbitrary bytes as an announcement, a deregistration and an answer of
// a worker. What is accepted must be in range, and a call to the worker can be
// written.
#include "dandelioncrank/http/http_message.hpp"
#include "worker_codec.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace dandelioncrank;
using namespace dandelioncrank::platform;

// More than any time or number that is plausible.
constexpr std::int64_t limit = std::int64_t{1} << 53;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

void check_announcement(const std::string& body)
{
    findings faults;
    worker_announcement item = decode_announcement("i-1", body, faults);
    if (!faults.empty()) {
        require(faults.to_text().size() < 10'000);
        return;
    }
    const pool::worker_info& info = item.info_;
    require(info.incarnation_ > 0 && info.incarnation_ < limit);
    require(item.clock_ms_ >= 0 && item.clock_ms_ < limit);
    require(item.sequence_ < static_cast<std::uint64_t>(limit));
    require(pool::resources{}.fits_into(info.capacity_));
    require(info.capacity_.fits_into(max_worker_capacity));
    pool::worker_call call;
    call.worker_ = info.name_;
    call.address_ = info.address_;
    call.operation_ = pool::hold_call{};
    (void)to_bytes(encode_worker_call(call));
}

void check_deregistration(const std::string& body)
{
    findings faults;
    std::int64_t incarnation = decode_deregistration("i-1", body, faults);
    if (faults.empty())
        require(body.empty() ? incarnation == 0
                             : incarnation > 0 && incarnation < limit);
}

void check_answer(const pool::call_answer& answer)
{
    require(answer.incarnation_ >= 0 && answer.incarnation_ < limit);
    require(!answer.clock_ms_ ||
            (*answer.clock_ms_ >= 0 && *answer.clock_ms_ < limit));
    for (const pool::reported_run& row : answer.running_) {
        require(row.run_.run_ > 0);
        require(row.progress_percent_ >= 0 && row.progress_percent_ <= 100);
    }
    for (const pool::reported_outcome& row : answer.ended_) {
        require(row.run_.run_ > 0);
        require(row.sequence_ > 0 &&
                row.sequence_ < static_cast<std::uint64_t>(limit));
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* bytes,
                                      std::size_t size)
{
    std::string body(reinterpret_cast<const char*>(bytes), size);
    check_announcement(body);
    check_deregistration(body);
    for (int status : {200, 409, 421}) {
        http_response response = json_response(status, body);
        check_answer(decode_worker_answer(response));
        check_answer(decode_hold_answer(response));
    }
    return 0;
}
