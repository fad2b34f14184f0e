#include "peer_connection.hpp"

#include <algorithm>
#include <vector>

namespace dandelioncrank {

namespace {

// Checks after which a sender must have been verified, or an admitted message
// must have made progress.
constexpr int max_checks_unverified = 10;
constexpr int max_checks_without_progress = 5;

} // namespace

peer_connection::peer_connection(peer_budgets& budgets)
    : budgets_(budgets), session_(http2_session::side::server, socket_)
{
    open_account();
    session_.on_message_ = [this](std::int32_t stream, bool, QByteArray body) {
        forget(stream);
        on_message_(stream, std::move(body));
    };
    session_.on_large_message_ = [this](std::int32_t stream,
                                        std::size_t bytes) {
        announce(stream, bytes);
    };
    session_.on_stream_closed_ = [this](std::int32_t stream) {
        forget(stream);
    };
    socket_.on_input_ = [this] { read_input(); };
    socket_.on_input_end_ = [this] { close(); };
    socket_.on_error_ = [this](const std::string&) { close(); };
    socket_.on_drained_ = [this] { update_account(); };
}

void peer_connection::start(int descriptor)
{
    socket_.adopt(descriptor);
    session_.flush();
}

peer_connection::~peer_connection()
{
    // Room that becomes free is granted at once, also to this connection.
    on_closed_ = nullptr;
    close();
}

void peer_connection::open_account()
{
    account_.emplace(is_verified_ ? budgets_.verified_ : budgets_.unverified_);
    account_->on_reclaim_ = [this] { close(); };
}

void peer_connection::read_input()
{
    last_input_at_ = steady_now();
    if (!session_.process_input()) {
        close();
        return;
    }
    socket_.release_input();
    update_account();
}

void peer_connection::update_account()
{
    if (!is_closed_)
        account_->set_buffered(session_.held_bytes() + socket_.unsent_bytes());
}

void peer_connection::respond(std::int32_t stream,
                              const std::optional<QByteArray>& body)
{
    if (is_closed_)
        return;
    if (body && !is_verified_)
        verify();
    session_.submit_response(stream, body.has_value(),
                             body.value_or(QByteArray()));
    session_.flush();
    update_account();
}

// Messages that were admitted before stay where they are counted.
void peer_connection::verify()
{
    is_verified_ = true;
    open_account();
    for (auto& [stream, message] : large_messages_) {
        if (!message.is_admitted_)
            request_room(stream, message);
    }
}

void peer_connection::announce(std::int32_t stream, std::size_t bytes)
{
    if (is_closed_ || bytes > budgets_.max_message_bytes()) {
        ++budgets_.messages_refused_;
        session_.refuse(stream);
        return;
    }
    large_message& message = large_messages_[stream];
    message.bytes_ = bytes;
    request_room(stream, message);
    if (on_checks_needed_)
        on_checks_needed_();
}

void peer_connection::request_room(std::int32_t stream, large_message& message)
{
    if (is_closed_)
        return;
    if (!is_verified_ &&
        message.bytes_ > budgets_.max_unverified_message_bytes())
        return;
    message.account_.emplace(is_verified_ ? budgets_.verified_
                                          : budgets_.unverified_);
    message.account_->on_granted_ = [this, stream] { admit(stream); };
    if (message.account_->reserve(message.bytes_, steady_now()))
        admit(stream);
}

void peer_connection::admit(std::int32_t stream)
{
    auto found = large_messages_.find(stream);
    if (is_closed_ || found == large_messages_.end())
        return;
    found->second.is_admitted_ = true;
    // Reservations are bounded by themselves. Reclaiming ends the connections
    // that hold most beside them.
    found->second.account_->set_reclaimable(false);
    session_.admit(stream);
    // The budget may be calling.
    QMetaObject::invokeMethod(
        &socket_, [this] { session_.flush(); }, Qt::QueuedConnection);
}

void peer_connection::forget(std::int32_t stream)
{
    // The room that becomes free may be granted to another message in the map.
    auto ended = large_messages_.extract(stream);
}

void peer_connection::check_progress()
{
    if (is_closed_)
        return;
    // A first message may be long on its way.
    bool is_receiving =
        std::any_of(large_messages_.begin(), large_messages_.end(),
                    [](const auto& item) { return item.second.is_admitted_; });
    if (!is_verified_ && !is_receiving)
        ++checks_unverified_;
    if (!is_verified_ && checks_unverified_ >= max_checks_unverified) {
        close();
        return;
    }
    std::vector<std::int32_t> stalled;
    for (auto& [stream, message] : large_messages_) {
        std::size_t received = session_.received_bytes(stream);
        bool has_progress =
            !message.is_admitted_ || received > message.received_bytes_;
        message.received_bytes_ = received;
        message.checks_without_progress_ =
            has_progress ? 0 : message.checks_without_progress_ + 1;
        if (message.checks_without_progress_ >= max_checks_without_progress)
            stalled.push_back(stream);
    }
    for (std::int32_t stream : stalled) {
        ++budgets_.messages_refused_;
        session_.refuse(stream);
    }
    if (!stalled.empty())
        session_.flush();
}

void peer_connection::close()
{
    if (is_closed_)
        return;
    is_closed_ = true;
    socket_.close();
    account_->close();
    for (auto& item : large_messages_) {
        if (item.second.account_)
            item.second.account_->close();
    }
    session_.end();
    if (on_closed_)
        on_closed_();
}

} // namespace dandelioncrank
