#include "dandelioncrank/http/server_connection.hpp"

namespace dandelioncrank {

namespace {

// Pipelined input buffered while a request is in flight.
constexpr std::size_t max_pipelined_bytes = 16 * 1024;
// Read at a time outside of bodies, so that a connection without one holds no
// large buffer.
constexpr std::size_t head_read_bytes = 16 * 1024;
constexpr std::size_t body_read_bytes = 64 * 1024;
// Bodies up to this size are read without a reservation.
constexpr std::size_t small_body_bytes = 16 * 1024;
// Copies of a request's body that its handling holds: the message that is
// forwarded, beside the request itself.
constexpr std::size_t copies_of_body = 2;
// Input read and discarded after the last response (lingering close), so that
// the client receives the response instead of a connection reset.
constexpr std::size_t max_discarded_bytes = 4 * 1024 * 1024;
constexpr duration linger_timeout = std::chrono::seconds(2);
const char* const retry_after_seconds = "1";

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
    socket_.set_read_size(head_read_bytes);
    socket_.adopt(descriptor);
    enter_phase(phase::idle, limits_.idle_time_);
}

void server_connection::set_buffer_budget(buffer_budget& budget)
{
    account_.emplace(budget);
    account_->on_granted_ = [this] {
        body_admitted_ = true;
        continue_body();
    };
    account_->on_reclaim_ = [this] { give_up_buffers(); };
}

void server_connection::enter_phase(phase next, duration timeout)
{
    phase_ = next;
    phase_since_ = steady_now();
    if (account_)
        account_->set_reclaimable(next != phase::busy);
    if (timeout > duration::zero())
        timer_.start(std::chrono::ceil<std::chrono::milliseconds>(timeout));
    else
        timer_.stop();
}

void server_connection::read_input()
{
    process_input();
    update_account();
}

void server_connection::process_input()
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
    socket_.set_reading(true);
    if (phase_ == phase::head && parser_.head_complete())
        enter_phase(phase::body, limits_.body_time_);
    if (phase_ == phase::body && admit_body())
        continue_body();
}

bool server_connection::admit_body()
{
    if (!account_)
        return true;
    if (body_admitted_) {
        account_->record_progress(steady_now());
        return true;
    }
    auto announced = parser_.announced_body_bytes();
    if (announced.value_or(parser_.body_bytes()) <= small_body_bytes)
        return true;
    if (account_->is_waiting()) {
        socket_.set_reading(false);
        return false;
    }
    std::size_t needed =
        announced.value_or(limits_.body_bytes_) + body_read_bytes;
    body_admitted_ = account_->reserve(needed, steady_now());
    socket_.set_reading(body_admitted_);
    if (!body_admitted_ && !account_->is_waiting())
        refuse_for_memory();
    return body_admitted_;
}

void server_connection::continue_body()
{
    // The reservation may have reclaimed the buffers of this connection.
    if (phase_ != phase::body)
        return;
    if (body_admitted_ || !account_)
        socket_.set_read_size(body_read_bytes);
    socket_.set_reading(true);
    if (parser_.expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        socket_.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void server_connection::update_account()
{
    if (phase_ != phase::body)
        socket_.release_input();
    if (!account_ || phase_ == phase::closed)
        return;
    account_->set_buffered(socket_.buffered_bytes() + parser_.buffered_bytes() +
                           request_bytes_);
}

// The request in head or body was not handed to the handler, so it has not
// run.
void server_connection::give_up_buffers()
{
    if (phase_ == phase::closed)
        return;
    if (phase_ == phase::head || phase_ == phase::body) {
        refuse_for_memory();
        update_account();
        return;
    }
    ++account_->budget().connections_closed_for_memory_;
    finish();
}

void server_connection::refuse_for_memory()
{
    ++account_->budget().requests_refused_for_memory_;
    reject({503, "the server is short of memory"});
}

void server_connection::close_if_idle()
{
    if (is_idle())
        finish();
}

void server_connection::start_request()
{
    std::size_t head_bytes = parser_.buffered_bytes() - parser_.body_bytes();
    request_bytes_ = head_bytes + copies_of_body * parser_.body_bytes();
    http_request request = parser_.take_request();
    socket_.set_read_size(head_read_bytes);
    body_admitted_ = false;
    keep_alive_ = request.keep_alive_;
    head_request_ = request.method_ == "HEAD";
    ++request_number_;
    parser_ = message_parser(message_parser::kind::request, limits_);
    enter_phase(phase::busy, duration::zero());
    if (account_)
        account_->release_reservation();
    update_account();
    on_request_(*this, std::move(request));
}

void server_connection::respond(http_response response)
{
    if (phase_ != phase::busy)
        return;
    keep_alive_ = keep_alive_ && !close_requested_ && !socket_.input_ended();
    response.keep_alive_ = keep_alive_;
    request_bytes_ = 0;
    enter_phase(phase::writing, limits_.write_time_);
    socket_.write(to_bytes(response, head_request_));
    update_account();
}

void server_connection::reject(parse_error error)
{
    http_response response = json_response(
        error.status_, "{\"reason\":\"" + error.reason_ + "\"}\n");
    response.keep_alive_ = false;
    if (error.status_ == 503)
        response.headers_.set("Retry-After", retry_after_seconds);
    if (on_error_response_)
        on_error_response_(response);
    keep_alive_ = false;
    body_admitted_ = false;
    if (account_) {
        if (error.status_ == 413 || error.status_ == 431)
            ++account_->budget().requests_refused_for_size_;
        account_->release_reservation();
    }
    parser_ = message_parser(message_parser::kind::request, limits_);
    std::string().swap(socket_.input());
    socket_.set_read_size(head_read_bytes);
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
    continue_sent_ = false;
    // Reading goes on once the pipelined input is short, or ends in an
    // incomplete request; otherwise it would grow with each response.
    socket_.set_reading(socket_.input().size() <= max_pipelined_bytes);
    update_account();
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
    bool is_waiting = account_ && account_->is_waiting();
    if (phase_ == phase::body && is_waiting) {
        refuse_for_memory();
    } else if (phase_ == phase::head || phase_ == phase::body) {
        reject({408, "the request did not arrive in time"});
    } else {
        finish();
        return;
    }
    update_account();
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
    std::string().swap(socket_.input());
    parser_ = message_parser(message_parser::kind::request, limits_);
    // This connection is deleted later, perhaps after the budget.
    if (account_)
        account_->close();
    if (on_finished_)
        on_finished_();
}

} // namespace dandelioncrank
