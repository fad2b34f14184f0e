#include "dandelioncrank/http/server_connection.hpp"

namespace dandelioncrank {

namespace {

// Bytes of pipelined requests kept while one request is in flight.
constexpr std::size_t max_early_input = 64 * 1024;
// Input that is read and dropped after a refusal, so that the caller gets
// the answer in place of a reset connection.
constexpr std::size_t max_drained_bytes = 8 * 1024 * 1024;
constexpr duration linger_time = std::chrono::seconds(2);

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
    socket_.on_broken_ = [this](const std::string&) {
        if (phase_ == phase::busy && on_disconnect_)
            on_disconnect_();
        finish();
    };
    socket_.adopt(descriptor);
    enter(phase::idle, limits_.idle_time_);
}

void server_connection::enter(phase next, duration limit)
{
    phase_ = next;
    if (limit > duration::zero())
        timer_.start(std::chrono::ceil<std::chrono::milliseconds>(limit));
    else
        timer_.stop();
}

void server_connection::read_input()
{
    std::string& input = socket_.input();
    switch (phase_) {
    case phase::idle:
        enter(phase::head, limits_.header_time_);
        break;
    case phase::head:
    case phase::body:
        break;
    case phase::busy:
    case phase::writing:
        if (input.size() > max_early_input)
            socket_.set_reading(false);
        return;
    case phase::draining:
        drained_bytes_ += input.size();
        input.clear();
        if (drained_bytes_ > max_drained_bytes)
            finish();
        return;
    case phase::closed:
        return;
    }
    parse_state state = parser_.feed(input);
    if (state == parse_state::refused) {
        refuse(parser_.refusal());
        return;
    }
    if (state == parse_state::complete) {
        start_request();
        return;
    }
    if (phase_ == phase::head && parser_.head_complete()) {
        enter(phase::body, limits_.body_time_);
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
    answers_head_ = request.method_ == "HEAD";
    ++number_;
    enter(phase::busy, duration::zero());
    on_request_(*this, std::move(request));
}

void server_connection::respond(http_response response)
{
    if (phase_ != phase::busy)
        return;
    keep_alive_ = keep_alive_ && !close_wanted_ && !socket_.input_ended();
    response.keep_alive_ = keep_alive_;
    enter(phase::writing, limits_.write_time_);
    socket_.write(to_bytes(response, answers_head_));
}

void server_connection::refuse(const parse_refusal& refusal)
{
    http_response response = json_response(
        refusal.status_, "{\"reason\":\"" + refusal.reason_ + "\"}\n");
    response.keep_alive_ = false;
    if (on_refusal_)
        on_refusal_(response);
    keep_alive_ = false;
    enter(phase::writing, limits_.write_time_);
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
    // The next request starts from the event loop, not from within the
    // answer, so that a long pipeline cannot deepen the stack.
    enter(phase::idle, limits_.idle_time_);
    QMetaObject::invokeMethod(
        this, [this] { next_request(); }, Qt::QueuedConnection);
}

void server_connection::next_request()
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
    enter(phase::draining, linger_time);
    socket_.set_reading(true);
    socket_.finish_writing();
}

void server_connection::handle_input_end()
{
    switch (phase_) {
    case phase::busy:
    case phase::writing:
        // A caller that has finished sending still gets its answer.
        break;
    case phase::head:
    case phase::body:
        refuse({400, "the request was cut short"});
        break;
    case phase::idle:
    case phase::draining:
        finish();
        break;
    case phase::closed:
        break;
    }
}

void server_connection::handle_timeout()
{
    if (phase_ == phase::head || phase_ == phase::body)
        refuse({408, "the request did not arrive in time"});
    else
        finish();
}

// An idle connection stays open for one more request: closing it could cross
// with a request on its way, whose caller would then not know its fate.
void server_connection::close_after_answer()
{
    close_wanted_ = true;
}

void server_connection::finish()
{
    if (phase_ == phase::closed)
        return;
    enter(phase::closed, duration::zero());
    socket_.close();
    if (on_finished_)
        on_finished_();
}

} // namespace dandelioncrank
