#include "dandelioncrank/http/client_connection.hpp"

namespace dandelioncrank {

client_connection::client_connection(const host_port& address,
                                     const http_limits& limits)
    : address_(address), limits_(limits)
{
    timer_.setSingleShot(true);
    // A coarse timer may fire early, before the deadline.
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, this, [this] {
        fail("no answer within the deadline", failure::timed_out);
    });
    socket_.on_input_ = [this] { read_input(); };
    socket_.on_input_end_ = [this] {
        fail("the endpoint closed the connection", failure::closed_in_order);
    };
    socket_.on_error_ = [this](const std::string& reason) { fail(reason); };
}

void client_connection::send(const http_request& request, duration timeout,
                             outcome_handler on_outcome)
{
    on_outcome_ = std::move(on_outcome);
    in_flight_ = true;
    head_request_ = request.method_ == "HEAD";
    parser_.emplace(head_request_ ? message_parser::kind::response_to_head
                                  : message_parser::kind::response,
                    limits_);
    sent_bytes_at_start_ = socket_.sent_bytes();
    timer_.start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    std::string bytes = to_bytes(request);
    if (reusable_) {
        reusable_ = false;
        // Deferred to the event loop so that a send error cannot invoke the
        // handler from within this call.
        QMetaObject::invokeMethod(
            this,
            [this, bytes] {
                if (in_flight_)
                    socket_.write(bytes);
            },
            Qt::QueuedConnection);
        return;
    }
    socket_.on_connected_ = [this, bytes] { socket_.write(bytes); };
    socket_.connect_to(address_);
}

void client_connection::read_input()
{
    if (!in_flight_) {
        // Unsolicited bytes: message framing on this stream is unreliable.
        reusable_ = false;
        socket_.close();
        return;
    }
    switch (parser_->feed(socket_.input())) {
    case parse_state::incomplete:
        return;
    case parse_state::rejected:
        fail("the answer is not whole: " + parser_->error().reason_);
        return;
    case parse_state::complete:
        break;
    }
    http_response response = parser_->take_response();
    bool sent_all = socket_.unsent_bytes() == 0;
    reusable_ = response.keep_alive_ && sent_all && socket_.input().empty();
    if (!reusable_)
        socket_.close();
    finish(request_answered{std::move(response)});
}

void client_connection::fail(const std::string& reason, failure kind)
{
    bool timed_out = kind == failure::timed_out;
    bool closed_in_order = kind == failure::closed_in_order;
    std::uint64_t sent_bytes = socket_.sent_bytes() - sent_bytes_at_start_;
    reusable_ = false;
    socket_.close();
    if (!in_flight_)
        return;
    if (sent_bytes == 0)
        finish(request_not_sent{reason, timed_out, socket_.was_refused(),
                                closed_in_order});
    else
        finish(request_unanswered{reason, timed_out, closed_in_order});
}

void client_connection::abort(const std::string& reason)
{
    fail(reason);
}

void client_connection::finish(client_outcome outcome)
{
    in_flight_ = false;
    timer_.stop();
    outcome_handler handler = std::move(on_outcome_);
    on_outcome_ = nullptr;
    if (handler)
        handler(std::move(outcome));
}

bool client_connection::is_reusable() const
{
    return reusable_ && !in_flight_ && !socket_.is_stale();
}

} // namespace dandelioncrank
