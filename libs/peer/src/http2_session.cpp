#include "http2_session.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <string>

namespace dandelioncrank {

namespace {

constexpr std::uint32_t max_concurrent_streams = 4096;
// Memory of a stream without its bodies, here and in nghttp2.
constexpr std::size_t stream_bytes = 512;
constexpr std::int32_t window_bytes = 16 * 1024 * 1024;
// Window of a message that is not admitted. A sender uses it before it has
// received the server's settings.
constexpr std::int32_t initial_window_bytes = NGHTTP2_INITIAL_WINDOW_SIZE;
static_assert(small_message_bytes < initial_window_bytes);
// Of all incomplete responses of a connection: a large one, and what is sent
// beside it.
constexpr qsizetype max_incomplete_bytes = 2 * max_message_bytes;

nghttp2_nv header(const char* name, const char* value)
{
    // nghttp2 copies both but takes pointers to non-const.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)),
            std::strlen(name), std::strlen(value), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// Callbacks of nghttp2; the user data is the session.
struct http2_session::callbacks
{
    static http2_session& self(void* user)
    {
        return *static_cast<http2_session*>(user);
    }

    static ssize_t send(nghttp2_session*, const std::uint8_t* bytes,
                        std::size_t size, int, void* user)
    {
        self(user).socket_.write({reinterpret_cast<const char*>(bytes), size});
        return static_cast<ssize_t>(size);
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user)
    {
        std::string_view key(reinterpret_cast<const char*>(name), name_size);
        std::string_view text(reinterpret_cast<const char*>(value), value_size);
        stream_state& state = self(user).streams_[frame->hd.stream_id];
        if (key == ":status")
            state.is_ok_ = text == "200";
        // nghttp2 has checked that it is a number.
        if (key == "content-length")
            std::from_chars(text.data(), text.data() + text.size(),
                            state.announced_bytes_);
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream,
                       const std::uint8_t* bytes, std::size_t size, void* user)
    {
        self(user).receive_data(stream, reinterpret_cast<const char*>(bytes),
                                static_cast<qsizetype>(size));
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user)
    {
        bool is_message =
            frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!is_message)
            return 0;
        http2_session& session = self(user);
        std::int32_t stream = frame->hd.stream_id;
        if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
            session.receive_end(stream);
            return 0;
        }
        qsizetype announced = session.streams_[stream].announced_bytes_;
        bool is_large = frame->hd.type == NGHTTP2_HEADERS &&
                        announced > small_message_bytes;
        if (is_large && session.on_large_message_)
            session.on_large_message_(stream,
                                      static_cast<std::size_t>(announced));
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream, std::uint32_t,
                        void* user)
    {
        self(user).close_stream(stream);
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t stream,
                             std::uint8_t* target, std::size_t capacity,
                             std::uint32_t* flags, nghttp2_data_source*,
                             void* user)
    {
        stream_state& state = self(user).streams_[stream];
        qsizetype remaining = state.send_buffer_.size() - state.sent_bytes_;
        qsizetype chunk = std::min(remaining, static_cast<qsizetype>(capacity));
        std::memcpy(target, state.send_buffer_.constData() + state.sent_bytes_,
                    static_cast<std::size_t>(chunk));
        state.sent_bytes_ += chunk;
        self(user).unsent_bytes_ -= chunk;
        if (chunk == remaining)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(chunk);
    }
};

http2_session::http2_session(side which, tcp_socket& socket)
    : side_(which), socket_(socket)
{
    nghttp2_session_callbacks* callback_table = nullptr;
    if (nghttp2_session_callbacks_new(&callback_table) != 0)
        throw std::bad_alloc();
    nghttp2_session_callbacks_set_send_callback(callback_table,
                                                callbacks::send);
    nghttp2_session_callbacks_set_on_header_callback(callback_table,
                                                     callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callback_table, callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callback_table,
                                                         callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callback_table,
                                                           callbacks::on_close);
    int result = 0;
    if (which == side::client) {
        result = nghttp2_session_client_new(&session_, callback_table, this);
    } else {
        nghttp2_option* options = nullptr;
        if (nghttp2_option_new(&options) != 0)
            throw std::bad_alloc();
        // Windows are opened when there is room.
        nghttp2_option_set_no_auto_window_update(options, 1);
        nghttp2_option_set_no_closed_streams(options, 1);
        result = nghttp2_session_server_new2(&session_, callback_table, this,
                                             options);
        nghttp2_option_del(options);
    }
    nghttp2_session_callbacks_del(callback_table);
    if (result != 0)
        throw std::runtime_error(nghttp2_strerror(result));
    std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(
             which == side::client ? window_bytes : initial_window_bytes)},
    }};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          window_bytes);
}

http2_session::~http2_session()
{
    nghttp2_session_del(session_);
}

std::int32_t http2_session::submit_request(const QByteArray& body)
{
    std::string length = std::to_string(body.size());
    std::array<nghttp2_nv, 5> headers = {
        header(":method", "POST"), header(":scheme", "http"),
        header(":path", "/peer/v1"), header(":authority", "peer"),
        header("content-length", length.c_str())};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_body;
    std::int32_t stream = nghttp2_submit_request(
        session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream >= 0) {
        streams_[stream].send_buffer_ = body;
        unsent_bytes_ += body.size();
    }
    return stream;
}

void http2_session::submit_response(std::int32_t stream, bool is_ok,
                                    const QByteArray& body)
{
    auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    found->second.send_buffer_ = body;
    unsent_bytes_ += body.size();
    std::array<nghttp2_nv, 1> headers = {
        header(":status", is_ok ? "200" : "503")};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_body;
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                            &provider);
}

// Windows of the connection are always opened: those of the streams bound what
// is received.
void http2_session::receive_data(std::int32_t stream, const char* bytes,
                                 qsizetype size)
{
    auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.is_refused_)
        return;
    stream_state& state = found->second;
    qsizetype received = state.receive_buffer_.size() + size;
    bool is_refused = received > max_message_bytes ||
                      incomplete_bytes_ + size > max_incomplete_bytes;
    if (side_ == side::server) {
        auto length = static_cast<std::size_t>(size);
        nghttp2_session_consume_connection(session_, length);
        if (state.is_admitted_)
            nghttp2_session_consume_stream(session_, stream, length);
        bool is_announced = state.announced_bytes_ > 0;
        is_refused = !is_announced && received > small_message_bytes;
    }
    if (is_refused) {
        refuse(stream);
        return;
    }
    state.receive_buffer_.append(bytes, size);
    if (!state.is_admitted_)
        incomplete_bytes_ += size;
}

void http2_session::receive_end(std::int32_t stream)
{
    stream_state& state = streams_[stream];
    state.is_delivered_ = true;
    if (!state.is_admitted_)
        incomplete_bytes_ -= state.receive_buffer_.size();
    QByteArray body = std::move(state.receive_buffer_);
    state.receive_buffer_ = {};
    bool is_ok = state.is_ok_;
    if (on_message_)
        on_message_(stream, is_ok, std::move(body));
}

void http2_session::close_stream(std::int32_t stream)
{
    auto found = streams_.find(stream);
    bool is_unanswered = side_ == side::client;
    if (found != streams_.end()) {
        const stream_state& state = found->second;
        is_unanswered = is_unanswered && !state.is_delivered_;
        if (!state.is_admitted_)
            incomplete_bytes_ -= state.receive_buffer_.size();
        unsent_bytes_ -= state.send_buffer_.size() - state.sent_bytes_;
        streams_.erase(found);
    }
    if (on_stream_closed_)
        on_stream_closed_(stream);
    if (is_unanswered && on_stream_failed_)
        on_stream_failed_(stream);
}

void http2_session::admit(std::int32_t stream)
{
    auto found = streams_.find(stream);
    if (found == streams_.end() || found->second.is_admitted_)
        return;
    stream_state& state = found->second;
    state.is_admitted_ = true;
    state.receive_buffer_.reserve(state.announced_bytes_);
    qsizetype received = state.receive_buffer_.size();
    incomplete_bytes_ -= received;
    nghttp2_session_consume_stream(session_, stream,
                                   static_cast<std::size_t>(received));
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, stream,
                                          window_bytes);
}

void http2_session::refuse(std::int32_t stream)
{
    auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    found->second.is_refused_ = true;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream,
                              NGHTTP2_REFUSED_STREAM);
}

void http2_session::end()
{
    has_ended_ = true;
    release();
}

void http2_session::release()
{
    if (!has_ended_ || is_receiving_ || is_flushing_)
        return;
    nghttp2_session_del(session_);
    session_ = nullptr;
    streams_.clear();
    incomplete_bytes_ = 0;
    unsent_bytes_ = 0;
}

std::size_t http2_session::held_bytes() const
{
    return static_cast<std::size_t>(incomplete_bytes_) + unsent_bytes() +
           streams_.size() * stream_bytes;
}

std::size_t http2_session::unsent_bytes() const
{
    return static_cast<std::size_t>(unsent_bytes_);
}

std::size_t http2_session::received_bytes(std::int32_t stream) const
{
    auto found = streams_.find(stream);
    if (found == streams_.end())
        return 0;
    return static_cast<std::size_t>(found->second.receive_buffer_.size());
}

bool http2_session::process_input()
{
    std::string bytes;
    bytes.swap(socket_.input());
    if (has_ended_)
        return false;
    is_receiving_ = true;
    auto consumed = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    is_receiving_ = false;
    release();
    if (consumed < 0 || has_ended_)
        return false;
    flush();
    return !has_ended_ && (nghttp2_session_want_read(session_) != 0 ||
                           nghttp2_session_want_write(session_) != 0);
}

void http2_session::flush()
{
    // nghttp2 must not be called back from its callbacks.
    if (has_ended_ || is_flushing_ || is_receiving_)
        return;
    is_flushing_ = true;
    nghttp2_session_send(session_);
    is_flushing_ = false;
    release();
}

} // namespace dandelioncrank
