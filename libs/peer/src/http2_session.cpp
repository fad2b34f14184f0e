#include "http2_session.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>
#include <string>

namespace dandelioncrank {

namespace {

constexpr std::uint32_t max_concurrent_streams = 4096;
constexpr std::int32_t window_bytes = 16 * 1024 * 1024;
// Of all incomplete messages of a connection: a snapshot, and what is sent
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
        if (key == ":status")
            self(user).streams_[frame->hd.stream_id].is_ok_ = text == "200";
        return 0;
    }

    static int on_data(nghttp2_session* session, std::uint8_t,
                       std::int32_t stream, const std::uint8_t* bytes,
                       std::size_t size, void* user)
    {
        http2_session& owner = self(user);
        stream_state& state = owner.streams_[stream];
        auto length = static_cast<qsizetype>(size);
        if (state.receive_buffer_.size() + length > max_message_bytes ||
            owner.incomplete_bytes_ + length > max_incomplete_bytes) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                                      NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        state.receive_buffer_.append(reinterpret_cast<const char*>(bytes),
                                     length);
        owner.incomplete_bytes_ += length;
        return 0;
    }

    static int on_frame(nghttp2_session*, const nghttp2_frame* frame,
                        void* user)
    {
        bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
                    (frame->hd.type == NGHTTP2_DATA ||
                     frame->hd.type == NGHTTP2_HEADERS);
        if (!ends)
            return 0;
        http2_session& session = self(user);
        stream_state& state = session.streams_[frame->hd.stream_id];
        state.is_delivered_ = true;
        session.incomplete_bytes_ -= state.receive_buffer_.size();
        QByteArray body = std::move(state.receive_buffer_);
        state.receive_buffer_ = {};
        bool is_ok = state.is_ok_;
        if (session.on_message_)
            session.on_message_(frame->hd.stream_id, is_ok, std::move(body));
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream, std::uint32_t,
                        void* user)
    {
        http2_session& session = self(user);
        auto found = session.streams_.find(stream);
        bool failed =
            session.side_ == side::client &&
            (found == session.streams_.end() || !found->second.is_delivered_);
        if (found != session.streams_.end())
            session.incomplete_bytes_ -= found->second.receive_buffer_.size();
        session.streams_.erase(stream);
        if (failed && session.on_stream_failed_)
            session.on_stream_failed_(stream);
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
    int result =
        which == side::client
            ? nghttp2_session_client_new(&session_, callback_table, this)
            : nghttp2_session_server_new(&session_, callback_table, this);
    nghttp2_session_callbacks_del(callback_table);
    if (result != 0)
        throw std::runtime_error(nghttp2_strerror(result));
    std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
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
    std::array<nghttp2_nv, 4> headers = {
        header(":method", "POST"), header(":scheme", "http"),
        header(":path", "/peer/v1"), header(":authority", "peer")};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_body;
    std::int32_t stream = nghttp2_submit_request(
        session_, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream >= 0)
        streams_[stream].send_buffer_ = body;
    return stream;
}

void http2_session::submit_response(std::int32_t stream, bool is_ok,
                                    const QByteArray& body)
{
    auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    found->second.send_buffer_ = body;
    std::array<nghttp2_nv, 1> headers = {
        header(":status", is_ok ? "200" : "503")};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_body;
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                            &provider);
}

bool http2_session::process_input()
{
    std::string bytes;
    bytes.swap(socket_.input());
    auto consumed = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    if (consumed < 0)
        return false;
    flush();
    return true;
}

void http2_session::flush()
{
    // Callbacks may re-enter this function.
    if (is_flushing_)
        return;
    is_flushing_ = true;
    nghttp2_session_send(session_);
    is_flushing_ = false;
}

} // namespace dandelioncrank
