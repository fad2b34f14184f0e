#include "dandelioncrank/peer/peer_link.hpp"

#include "dandelioncrank/http/tcp_socket.hpp"
#include "http2_session.hpp"

#include <utility>
#include <vector>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration retry_time = 200ms;
constexpr auto expiry_interval = 20ms;
// Bytes that may wait in the socket before one-way messages are dropped.
constexpr std::size_t max_unsent_bytes = 4 * 1024 * 1024;

} // namespace

peer_link::peer_link(const host_port& address) : address_(address)
{
    QObject::connect(&timer_, &QTimer::timeout, this, [this] { expire(); });
}

peer_link::~peer_link() = default;

bool peer_link::ensure_connection()
{
    if (session_)
        return true;
    if (steady_now() < retry_at_)
        return false;
    retry_at_ = steady_now() + retry_time;
    socket_ = std::make_unique<tcp_socket>();
    session_ =
        std::make_unique<http2_session>(http2_session::side::client, *socket_);
    session_->on_message_ = [this](std::int32_t stream, bool good,
                                   QByteArray body) {
        auto found = waiting_.find(stream);
        if (found == waiting_.end())
            return;
        answer_handler handler = std::move(found->second.on_answer_);
        waiting_.erase(found);
        if (handler)
            handler(good ? std::optional(std::move(body)) : std::nullopt);
    };
    session_->on_stream_lost_ = [this](std::int32_t stream) {
        auto found = waiting_.find(stream);
        if (found == waiting_.end())
            return;
        answer_handler handler = std::move(found->second.on_answer_);
        waiting_.erase(found);
        fail_later(std::move(handler));
    };
    socket_->on_input_ = [this] {
        if (session_ && !session_->take_input())
            break_off();
    };
    socket_->on_input_end_ = [this] { break_off(); };
    socket_->on_broken_ = [this](const std::string&) { break_off(); };
    socket_->connect_to(address_);
    return true;
}

void peer_link::send(const QByteArray& body, duration limit,
                     answer_handler on_answer)
{
    if (!ensure_connection()) {
        fail_later(std::move(on_answer));
        return;
    }
    std::int32_t stream = session_->submit_request(body);
    if (stream < 0) {
        fail_later(std::move(on_answer));
        return;
    }
    ++messages_;
    sent_bytes_ += static_cast<std::uint64_t>(body.size());
    waiting_[stream] = {std::move(on_answer), steady_now() + limit};
    if (!timer_.isActive())
        timer_.start(expiry_interval);
    session_->flush();
}

void peer_link::post(const QByteArray& body, duration limit)
{
    if (socket_ && socket_->unsent_bytes() > max_unsent_bytes)
        return;
    send(body, limit, nullptr);
}

void peer_link::fail_later(answer_handler on_answer)
{
    if (!on_answer)
        return;
    QMetaObject::invokeMethod(
        this, [handler = std::move(on_answer)] { handler(std::nullopt); },
        Qt::QueuedConnection);
}

void peer_link::break_off()
{
    if (breaking_ || !session_)
        return;
    breaking_ = true;
    socket_->close();
    auto lost = std::exchange(waiting_, {});
    for (auto& item : lost)
        fail_later(std::move(item.second.on_answer_));
    // This may be called from within the session or the socket.
    QMetaObject::invokeMethod(
        this,
        [this] {
            session_.reset();
            socket_.reset();
            breaking_ = false;
        },
        Qt::QueuedConnection);
}

void peer_link::expire()
{
    instant now = steady_now();
    std::vector<answer_handler> expired;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->second.deadline_ > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.on_answer_));
        it = waiting_.erase(it);
    }
    if (waiting_.empty())
        timer_.stop();
    // A silent cut keeps connections open. The next message tries anew.
    if (!expired.empty())
        break_off();
    for (answer_handler& handler : expired) {
        if (handler)
            handler(std::nullopt);
    }
}

} // namespace dandelioncrank
