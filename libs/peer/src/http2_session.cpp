#include "http2_session.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>
#include <string>

namespace dandelioncrank {

namespace {

constexpr std::uint32_t max_open_streams = 4096;
constexpr std::int32_t window_bytes = 16 * 1024 * 1024;

nghttp2_nv header(const char* name, const char* value)
{
    // nghttp2 copies both; it asks for pointers to non-const.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)),
            std::strlen(name), std::strlen(value), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// The library calls these with the session as user data.
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
            self(user).streams_[frame->hd.stream_id].good_ = text == "200";
        return 0;
    }

    static int on_data(nghttp2_session* session, std::uint8_t,
                       std::int32_t stream, const std::uint8_t* bytes,
                       std::size_t size, void* user)
    {
        stream_state& state = self(user).streams_[stream];
        auto length = static_cast<qsizetype>(size);
        if (state.received_.size() + length > max_peer_body) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream,
                                      NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        state.received_.append(reinterpret_cast<const char*>(bytes), length);
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
        http2_session& own = self(user);
        stream_state& state = own.streams_[frame->hd.stream_id];
        state.delivered_ = true;
        QByteArray body = std::move(state.received_);
        bool good = state.good_;
        if (own.on_message_)
            own.on_message_(frame->hd.stream_id, good, std::move(body));
        return 0;
    }

    static int on_close(nghttp2_session*, std::int32_t stream, std::uint32_t,
                        void* user)
    {
        http2_session& own = self(user);
        auto found = own.streams_.find(stream);
        bool lost = own.side_ == side::client &&
                    (found == own.streams_.end() || !found->second.delivered_);
        own.streams_.erase(stream);
        if (lost && own.on_stream_lost_)
            own.on_stream_lost_(stream);
        return 0;
    }

    static ssize_t read_body(nghttp2_session*, std::int32_t stream,
                             std::uint8_t* target, std::size_t room,
                             std::uint32_t* flags, nghttp2_data_source*,
                             void* user)
    {
        stream_state& state = self(user).streams_[stream];
        qsizetype left = state.to_send_.size() - state.sent_;
        qsizetype part = std::min(left, static_cast<qsizetype>(room));
        std::memcpy(target, state.to_send_.constData() + state.sent_,
                    static_cast<std::size_t>(part));
        state.sent_ += part;
        if (part == left)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(part);
    }
};

http2_session::http2_session(side which, tcp_socket& socket)
    : side_(which), socket_(socket)
{
    nghttp2_session_callbacks* table = nullptr;
    if (nghttp2_session_callbacks_new(&table) != 0)
        throw std::bad_alloc();
    nghttp2_session_callbacks_set_send_callback(table, callbacks::send);
    nghttp2_session_callbacks_set_on_header_callback(table,
                                                     callbacks::on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        table, callbacks::on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(table,
                                                         callbacks::on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(table,
                                                           callbacks::on_close);
    int result = which == side::client
                     ? nghttp2_session_client_new(&session_, table, this)
                     : nghttp2_session_server_new(&session_, table, this);
    nghttp2_session_callbacks_del(table);
    if (result != 0)
        throw std::runtime_error(nghttp2_strerror(result));
    std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_open_streams},
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
        streams_[stream].to_send_ = body;
    return stream;
}

void http2_session::submit_answer(std::int32_t stream, bool good,
                                  const QByteArray& body)
{
    auto found = streams_.find(stream);
    if (found == streams_.end())
        return;
    found->second.to_send_ = body;
    std::array<nghttp2_nv, 1> headers = {
        header(":status", good ? "200" : "503")};
    nghttp2_data_provider provider{};
    provider.read_callback = callbacks::read_body;
    nghttp2_submit_response(session_, stream, headers.data(), headers.size(),
                            &provider);
}

bool http2_session::take_input()
{
    std::string bytes;
    bytes.swap(socket_.input());
    auto used = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const std::uint8_t*>(bytes.data()),
        bytes.size());
    if (used < 0)
        return false;
    flush();
    return true;
}

void http2_session::flush()
{
    // A callback may lead back here.
    if (flushing_)
        return;
    flushing_ = true;
    nghttp2_session_send(session_);
    flushing_ = false;
}

} // namespace dandelioncrank
