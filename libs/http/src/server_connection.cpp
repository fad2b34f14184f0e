#include "dandelioncrank/http/server_connection.hpp"

namespace dandelioncrank {

namespace {

// Pipelined input buffered while a request is in flight.
constexpr std::size_t max_pipelined_bytes = 64 * 1024;
// Input read and discarded after the last response (lingering close), so that
// the client receives the response instead of a connection reset.
constexpr std::size_t max_discarded_bytes = 8 * 1024 * 1024;
constexpr duration linger_timeout = std::chrono::seconds(2);

} // namespace

server_connection::server_connection(int descriptor, const http_limits& limits,
                                     request_handler on_request)
    : limits_(limits), on_request_(std::move(on_request)),
      parser_(message_parser::kind::request, limits)
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, this,
                     [this] { handle_timeout(); });
    socket_.on_input_ = [this] { read_input(); };
    socket_.on_input_end_ = [this] { handle_input_end(); };
    socket_.on_drained_ = [this] { handle_drained(); };
    socket_.on_error_ = [this](const std::string&) {
        if (phase_ == phase::busy && on_disconnected_)
            on_disconnected_();
        finish();
    };
    socket_.adopt(descriptor);
    enter_phase(phase::idle, limits_.idle_time_);
}

void server_connection::enter_phase(phase next, duration timeout)
{
    phase_ = next;
    if (timeout > duration::zero())
        timer_.start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    else
        timer_.stop();
}

void server_connection::read_input()
{
    std::string& input = socket_.input();
    switch (phase_) {
    case phase::idle:
        enter_phase(phase::head, limits_.header_time_);
        break;
    case phase::head:
    case phase::body:
        break;
    case phase::busy:
    case phase::writing:
        if (input.size() > max_pipelined_bytes)
            socket_.set_reading(false);
        return;
    case phase::lingering:
        discarded_bytes_ += input.size();
        input.clear();
        if (discarded_bytes_ > max_discarded_bytes)
            finish();
        return;
    case phase::closed:
        return;
    }
    parse_state state = parser_.feed(input);
    if (state == parse_state::rejected) {
        reject(parser_.error());
        return;
    }
    if (state == parse_state::complete) {
        start_request();
        return;
    }
    if (phase_ == phase::head && parser_.head_complete()) {
        enter_phase(phase::body, limits_.body_time_);
        if (parser_.expects_continue() && !continue_sent_) {
            continue_sent_ = true;
            socket_.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void server_connection::start_request()
{
    http_request request = parser_.take_request();
    keep_alive_ = request.keep_alive_;
    head_request_ = request.method_ == "HEAD";
    ++request_number_;
    enter_phase(phase::busy, duration::zero());
    on_request_(*this, std::move(request));
}

void server_connection::respond(http_response response)
{
    if (phase_ != phase::busy)
        return;
    keep_alive_ = keep_alive_ && !close_requested_ && !socket_.input_ended();
    response.keep_alive_ = keep_alive_;
    enter_phase(phase::writing, limits_.write_time_);
    socket_.write(to_bytes(response, head_request_));
}

void server_connection::reject(const parse_error& error)
{
    http_response response = json_response(
        error.status_, "{\"reason\":\"" + error.reason_ + "\"}\n");
    response.keep_alive_ = false;
    if (on_error_response_)
        on_error_response_(response);
    keep_alive_ = false;
    enter_phase(phase::writing, limits_.write_time_);
    socket_.write(to_bytes(response));
}

void server_connection::handle_drained()
{
    if (phase_ != phase::writing)
        return;
    if (!keep_alive_) {
        linger();
        return;
    }
    // The next request is started from the event loop, so that a long
    // pipeline does not recurse.
    enter_phase(phase::idle, limits_.idle_time_);
    QMetaObject::invokeMethod(
        this, [this] { read_next_request(); }, Qt::QueuedConnection);
}

void server_connection::read_next_request()
{
    if (phase_ != phase::idle)
        return;
    parser_ = message_parser(message_parser::kind::request, limits_);
    continue_sent_ = false;
    socket_.set_reading(true);
    if (!socket_.input().empty())
        read_input();
    else if (socket_.input_ended())
        finish();
}

void server_connection::linger()
{
    socket_.input().clear();
    if (socket_.input_ended()) {
        finish();
        return;
    }
    enter_phase(phase::lingering, linger_timeout);
    socket_.set_reading(true);
    socket_.shutdown_write();
}

void server_connection::handle_input_end()
{
    switch (phase_) {
    case phase::busy:
    case phase::writing:
        // A half-closed client still receives its response.
        break;
    case phase::head:
    case phase::body:
        reject({400, "the request was cut short"});
        break;
    case phase::idle:
    case phase::lingering:
        finish();
        break;
    case phase::closed:
        break;
    }
}

void server_connection::handle_timeout()
{
    if (phase_ == phase::head || phase_ == phase::body)
        reject({408, "the request did not arrive in time"});
    else
        finish();
}

// An idle connection stays open for one more request. Closing it could race
// with a request already in transit, and the client could not tell whether
// that request was processed.
void server_connection::close_after_response()
{
    close_requested_ = true;
}

void server_connection::finish()
{
    if (phase_ == phase::closed)
        return;
    enter_phase(phase::closed, duration::zero());
    socket_.close();
    if (on_finished_)
        on_finished_();
}

} // namespace dandelioncrank
