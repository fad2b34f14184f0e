// Boost.Beast is slow to compile, so only this file instantiates it.
#include "dandelioncrank/http/message_parser.hpp"

#include "dandelioncrank/core/overloaded.hpp"
#include "lazy_string_body.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>
#include <sstream>
#include <variant>

namespace dandelioncrank {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view header_terminator = "\r\n\r\n";
// Bytes of a chunk that are neither data nor counted against the header limit:
// up to eight digits of size and two line ends. Bodies in small chunks pass.
constexpr std::size_t chunk_framing_bytes = 12;

bool starts_with_name(std::string_view line, std::string_view name)
{
    if (line.size() <= name.size() || line[name.size()] != ':')
        return false;
    return beast::iequals(beast::string_view(line.data(), name.size()),
                          beast::string_view(name.data(), name.size()));
}

/// Looks at the line feeds from the given position on.
bool has_bare_line_feed(std::string_view bytes, std::size_t from)
{
    for (auto position = bytes.find('\n', from); position != bytes.npos;
         position = bytes.find('\n', position + 1)) {
        if (position == 0 || bytes[position - 1] != '\r')
            return true;
    }
    return false;
}

/// Checks for malformed headers that Beast accepts.
std::optional<parse_error> check_head(std::string_view head, bool is_request)
{
    int content_length_count = 0;
    int host_count = 0;
    auto line_start = head.find("\r\n");
    while (line_start != head.npos) {
        line_start += 2;
        auto line_end = head.find("\r\n", line_start);
        std::string_view line = head.substr(line_start, line_end - line_start);
        line_start = line_end;
        if (line.empty())
            break;
        if (line[0] == ' ' || line[0] == '\t')
            return parse_error{400, "a header line is folded"};
        content_length_count += starts_with_name(line, "Content-Length");
        host_count += starts_with_name(line, "Host");
    }
    if (content_length_count > 1)
        return parse_error{400, "there is more than one Content-Length"};
    if (is_request && host_count != 1)
        return parse_error{400, "exactly one Host line is needed"};
    return std::nullopt;
}

parse_error to_parse_error(const beast::error_code& error)
{
    if (error == http::error::header_limit)
        return {431, "the header is too large"};
    if (error == http::error::body_limit)
        return {413, "the body is too large"};
    if (error == http::error::bad_version)
        return {505, "the HTTP version is not served"};
    return {400, "malformed message: " + error.message()};
}

template <bool IsRequest>
using beast_parser = http::parser<IsRequest, lazy_string_body>;

template <class Message>
void copy_fields(const Message& message, header_list& headers)
{
    for (const auto& field : message) {
        headers.add(std::string(field.name_string()),
                    std::string(field.value()));
    }
}

template <class Message>
std::string serialize(Message& message, bool head_only)
{
    http::serializer<Message::is_request::value, http::string_body> serializer(
        message);
    serializer.split(true);
    std::string bytes;
    beast::error_code error;
    while (!serializer.is_done()) {
        std::size_t consumed = 0;
        serializer.next(error, [&](beast::error_code&, const auto& buffers) {
            for (auto buffer_part : beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char*>(buffer_part.data()),
                             buffer_part.size());
                consumed += buffer_part.size();
            }
        });
        serializer.consume(consumed);
        if (error || (head_only && serializer.is_header_done()))
            break;
    }
    return bytes;
}

template <class Message>
void fill_message(Message& message, const header_list& headers,
                  const std::string& body)
{
    message.version(11);
    for (const header_field& field : headers.items())
        message.insert(field.name_, field.value_);
    message.erase(http::field::transfer_encoding);
    message.erase(http::field::connection);
    message.body() = body;
    message.content_length(body.size());
}

} // namespace

class message_parser::implementation
{
  public:
    implementation(kind message_kind, const http_limits& limits)
        : kind_(message_kind), limits_(limits)
    {
        reset_parser();
    }

    parse_state feed(std::string& buffer)
    {
        if (state_ != parse_state::incomplete)
            return state_;
        if (!head_complete_ && !take_head(buffer))
            return state_;
        take_body(buffer);
        return state_;
    }

    void reset_parser()
    {
        head_complete_ = false;
        head_bytes_ = 0;
        scanned_bytes_ = 0;
        framing_bytes_ = 0;
        if (kind_ == kind::request)
            configure(parser_.emplace<beast_parser<true>>());
        else
            configure(parser_.emplace<beast_parser<false>>());
        if (kind_ == kind::response_to_head)
            std::get<beast_parser<false>>(parser_).skip(true);
    }

    http_request take_request()
    {
        auto message = std::get<beast_parser<true>>(parser_).release();
        http_request request;
        request.method_ = std::string(message.method_string());
        request.target_ = std::string(message.target());
        request.keep_alive_ = message.keep_alive();
        copy_fields(message, request.headers_);
        request.body_ = std::move(message.body());
        return request;
    }

    http_response take_response()
    {
        auto message = std::get<beast_parser<false>>(parser_).release();
        http_response response;
        response.status_ = static_cast<int>(message.result_int());
        response.keep_alive_ = message.keep_alive();
        copy_fields(message, response.headers_);
        response.body_ = std::move(message.body());
        return response;
    }

    [[nodiscard]] bool expects_continue() const
    {
        const auto* parser = std::get_if<beast_parser<true>>(&parser_);
        return parser != nullptr && head_complete_ &&
               state_ == parse_state::incomplete &&
               beast::iequals(parser->get()[http::field::expect],
                              "100-continue");
    }

    [[nodiscard]] std::size_t body_bytes() const
    {
        return std::visit(
            [](const auto& parser) -> std::size_t {
                using parser_type = std::decay_t<decltype(parser)>;
                if constexpr (std::is_same_v<parser_type, std::monostate>)
                    return 0;
                else
                    return parser.get().body().size();
            },
            parser_);
    }

    [[nodiscard]] std::optional<std::size_t> announced_body_bytes() const
    {
        return std::visit(
            [](const auto& parser) -> std::optional<std::size_t> {
                using parser_type = std::decay_t<decltype(parser)>;
                if constexpr (!std::is_same_v<parser_type, std::monostate>) {
                    if (auto length = parser.content_length())
                        return static_cast<std::size_t>(*length);
                }
                return std::nullopt;
            },
            parser_);
    }

    kind kind_;
    http_limits limits_;
    bool head_complete_ = false;
    std::size_t head_bytes_ = 0;
    parse_state state_ = parse_state::incomplete;
    parse_error error_;

  private:
    template <class Parser>
    void configure(Parser& parser)
    {
        auto max_header_limit = std::numeric_limits<std::uint32_t>::max();
        parser.header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits_.header_bytes_, max_header_limit)));
        parser.body_limit(limits_.body_bytes_);
        // One element at a time, so that the framing of each chunk is counted.
        parser.eager(false);
    }

    void reject(parse_error error)
    {
        error_ = std::move(error);
        state_ = parse_state::rejected;
    }

    // The complete header is validated before Beast parses any of it.
    bool take_head(std::string& buffer)
    {
        std::string_view bytes = buffer;
        // What was scanned before is not scanned again, but for a terminator
        // that arrives in parts.
        std::size_t from =
            scanned_bytes_ - std::min(scanned_bytes_, header_terminator.size());
        auto end = bytes.find(header_terminator, from);
        std::string_view head = bytes.substr(0, end);
        if (head.size() > limits_.header_bytes_) {
            reject({431, "the header is too large"});
            return false;
        }
        if (has_bare_line_feed(head, std::min(from, head.size()))) {
            reject({400, "a line ends without a carriage return"});
            return false;
        }
        scanned_bytes_ = bytes.size();
        if (end == bytes.npos)
            return false;
        head = bytes.substr(0, end + header_terminator.size());
        if (auto error = check_head(head, kind_ == kind::request)) {
            reject(*error);
            return false;
        }
        head_bytes_ = head.size();
        auto consumed = feed_parser(head);
        buffer.erase(0, consumed.value_or(0));
        return consumed && check_parsed_head(buffer);
    }

    bool check_parsed_head(std::string& buffer)
    {
        if (state_ == parse_state::rejected)
            return false;
        // Beast keeps waiting if an empty line replaces the start line.
        if (!is_header_done()) {
            reject({400, "there is no start line"});
            return false;
        }
        head_complete_ = true;
        if (kind_ == kind::request) {
            auto version =
                std::get<beast_parser<true>>(parser_).get().version();
            if (version != 11 && version != 10)
                reject({505, "the HTTP version is not served"});
            return state_ == parse_state::incomplete;
        }
        auto& parser = std::get<beast_parser<false>>(parser_);
        if (parser.get().result_int() / 100 == 1) {
            reset_parser();
            state_ = parse_state::incomplete;
            return feed(buffer) == parse_state::incomplete && head_complete_;
        }
        if (state_ == parse_state::incomplete && parser.need_eof())
            reject({502, "the answer names no length"});
        return state_ == parse_state::incomplete;
    }

    [[nodiscard]] bool is_header_done() const
    {
        const auto* request = std::get_if<beast_parser<true>>(&parser_);
        const auto* response = std::get_if<beast_parser<false>>(&parser_);
        return request != nullptr ? request->is_header_done()
                                  : response->is_header_done();
    }

    void take_body(std::string& buffer)
    {
        std::string_view rest = buffer;
        while (state_ == parse_state::incomplete && !rest.empty()) {
            std::size_t body_before = body_bytes();
            auto consumed = feed_parser(rest);
            if (!consumed || *consumed == 0)
                break;
            rest.remove_prefix(*consumed);
            std::size_t framing = *consumed - (body_bytes() - body_before);
            framing_bytes_ += framing - std::min(framing, chunk_framing_bytes);
            check_framing(0);
        }
        // Beast consumes a chunk line, and all trailers, only as a whole. They
        // would be buffered and scanned again and again until then.
        if (state_ == parse_state::incomplete)
            check_framing(rest.size());
        buffer.erase(0, buffer.size() - rest.size());
    }

    void check_framing(std::size_t unconsumed_bytes)
    {
        unconsumed_bytes -= std::min(unconsumed_bytes, chunk_framing_bytes);
        if (framing_bytes_ + unconsumed_bytes > limits_.header_bytes_)
            reject({431, "the chunk lines and trailers are too large"});
    }

    // Passes the bytes to Beast and returns how many of them it consumed.
    std::optional<std::size_t> feed_parser(std::string_view bytes)
    {
        beast::error_code error;
        std::size_t consumed = 0;
        bool done = false;
        std::visit(
            [&](auto& parser) {
                using parser_type = std::decay_t<decltype(parser)>;
                if constexpr (!std::is_same_v<parser_type, std::monostate>) {
                    consumed = parser.put(
                        boost::asio::buffer(bytes.data(), bytes.size()), error);
                    done = parser.is_done();
                }
            },
            parser_);
        if (error && error != http::error::need_more) {
            reject(to_parse_error(error));
            return std::nullopt;
        }
        if (done)
            state_ = parse_state::complete;
        return consumed;
    }

    /// Bytes of an incomplete header that were scanned for its end.
    std::size_t scanned_bytes_ = 0;
    /// Bytes of chunk lines and trailers beyond the ordinary framing.
    std::size_t framing_bytes_ = 0;
    std::variant<std::monostate, beast_parser<true>, beast_parser<false>>
        parser_;
};

message_parser::message_parser(kind message_kind, const http_limits& limits)
    : implementation_(std::make_unique<implementation>(message_kind, limits))
{
}

message_parser::~message_parser() = default;
message_parser::message_parser(message_parser&&) noexcept = default;
message_parser& message_parser::operator=(message_parser&&) noexcept = default;

parse_state message_parser::feed(std::string& buffer)
{
    return implementation_->feed(buffer);
}

parse_state message_parser::state() const
{
    return implementation_->state_;
}

bool message_parser::head_complete() const
{
    return implementation_->head_complete_;
}

bool message_parser::expects_continue() const
{
    return implementation_->expects_continue();
}

std::size_t message_parser::buffered_bytes() const
{
    return implementation_->head_bytes_ + implementation_->body_bytes();
}

std::size_t message_parser::body_bytes() const
{
    return implementation_->body_bytes();
}

std::optional<std::size_t> message_parser::announced_body_bytes() const
{
    return implementation_->announced_body_bytes();
}

const parse_error& message_parser::error() const
{
    return implementation_->error_;
}

http_request message_parser::take_request()
{
    return implementation_->take_request();
}

http_response message_parser::take_response()
{
    return implementation_->take_response();
}

std::string to_bytes(const http_request& request)
{
    http::request<http::string_body> message;
    message.method_string(request.method_);
    message.target(request.target_);
    fill_message(message, request.headers_, request.body_);
    if (!request.keep_alive_)
        message.set(http::field::connection, "close");
    return serialize(message, false);
}

std::string to_bytes(const http_response& response, bool head_only)
{
    http::response<http::string_body> message;
    message.result(static_cast<unsigned>(response.status_));
    fill_message(message, response.headers_, response.body_);
    if (response.status_ == 204 || response.status_ == 304)
        message.erase(http::field::content_length);
    if (!response.keep_alive_)
        message.set(http::field::connection, "close");
    return serialize(message, head_only);
}

} // namespace dandelioncrank
