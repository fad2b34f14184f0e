#include "dandelioncrank/peer/peer_link.hpp"

#include "dandelioncrank/http/tcp_socket.hpp"
#include "http2_session.hpp"

#include <utility>
#include <vector>

namespace dandelioncrank {

namespace {

using namespace std::chrono_literals;

constexpr duration reconnect_interval = 200ms;
constexpr auto expiry_interval = 20ms;
// One-way messages are dropped while more bytes than this are unsent.
constexpr std::size_t max_unsent_bytes = 4 * 1024 * 1024;

} // namespace

peer_link::peer_link(const host_port& address) : address_(address)
{
    QObject::connect(&timer_, &QTimer::timeout, this,
                     [this] { expire_requests(); });
}

peer_link::~peer_link() = default;

bool peer_link::ensure_connection()
{
    // A message must not join a session that is about to be destroyed: the next
    // session numbers its streams from the start again.
    if (session_)
        return !closing_;
    if (steady_now() < reconnect_at_)
        return false;
    reconnect_at_ = steady_now() + reconnect_interval;
    socket_ = std::make_unique<tcp_socket>();
    session_ =
        std::make_unique<http2_session>(http2_session::side::client, *socket_);
    session_->on_message_ = [this](std::int32_t stream, bool is_ok,
                                   QByteArray body) {
        auto found = pending_.find(stream);
        if (found == pending_.end())
            return;
        response_handler handler = std::move(found->second.on_response_);
        pending_.erase(found);
        if (handler)
            handler(is_ok ? std::optional(std::move(body)) : std::nullopt);
    };
    session_->on_stream_failed_ = [this](std::int32_t stream) {
        auto found = pending_.find(stream);
        if (found == pending_.end())
            return;
        response_handler handler = std::move(found->second.on_response_);
        pending_.erase(found);
        fail_later(std::move(handler));
    };
    socket_->on_input_ = [this] {
        if (session_ && !session_->process_input())
            close_connection();
    };
    socket_->on_input_end_ = [this] { close_connection(); };
    socket_->on_error_ = [this](const std::string&) { close_connection(); };
    socket_->connect_to(address_);
    return true;
}

void peer_link::send(const QByteArray& body, duration timeout,
                     response_handler on_response)
{
    if (!ensure_connection()) {
        fail_later(std::move(on_response));
        return;
    }
    std::int32_t stream = session_->submit_request(body);
    if (stream < 0) {
        fail_later(std::move(on_response));
        return;
    }
    ++sent_messages_;
    sent_bytes_ += static_cast<std::uint64_t>(body.size());
    pending_[stream] = {std::move(on_response), steady_now() + timeout};
    if (!timer_.isActive())
        timer_.start(expiry_interval);
    session_->flush();
}

void peer_link::post(const QByteArray& body, duration timeout)
{
    if (socket_ && socket_->unsent_bytes() > max_unsent_bytes)
        return;
    // A large message that waits to be admitted does not hold back small ones,
    // by which the receiver verifies this host.
    if (session_ && body.size() > small_message_bytes &&
        session_->unsent_bytes() > max_unsent_bytes)
        return;
    send(body, timeout, nullptr);
}

void peer_link::fail_later(response_handler on_response)
{
    if (!on_response)
        return;
    QMetaObject::invokeMethod(
        this, [handler = std::move(on_response)] { handler(std::nullopt); },
        Qt::QueuedConnection);
}

void peer_link::close_connection()
{
    if (closing_ || !session_)
        return;
    closing_ = true;
    socket_->close();
    auto failed = std::exchange(pending_, {});
    for (auto& item : failed)
        fail_later(std::move(item.second.on_response_));
    // May be called from within the session or the socket.
    QMetaObject::invokeMethod(
        this,
        [this] {
            session_.reset();
            socket_.reset();
            closing_ = false;
        },
        Qt::QueuedConnection);
}

void peer_link::expire_requests()
{
    instant now = steady_now();
    std::vector<response_handler> expired;
    for (auto it = pending_.begin(); it != pending_.end();) {
        if (it->second.deadline_ > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.on_response_));
        it = pending_.erase(it);
    }
    if (pending_.empty())
        timer_.stop();
    // A network partition leaves connections open without an error. The next
    // message opens a new connection.
    if (!expired.empty())
        close_connection();
    for (response_handler& handler : expired) {
        if (handler)
            handler(std::nullopt);
    }
}

} // namespace dandelioncrank
