#include "dandelioncrank/http/client_connection.hpp"
#include "dandelioncrank/http/http_server.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <catch2/catch.hpp>

#include <atomic>
#include <deque>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const host_port any_port{"127.0.0.1", 0};

QCoreApplication& application()
{
    static int argc = 1;
    static char name[] = "test";
    static char* argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

/// Runs the event loop until the condition holds. The timeout is long enough
/// that only a hang reaches it.
template <class Condition>
void run_until(Condition condition)
{
    application();
    instant deadline = steady_now() + 60s;
    while (!condition() && steady_now() < deadline)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 100);
    REQUIRE(condition());
}

/// Descriptor of a connected socket.
struct connected_socket
{
    int descriptor_;
};

/// TCP client that writes raw bytes and collects everything received.
struct raw_client
{
    explicit raw_client(connected_socket connected)
    {
        socket_.on_input_end_ = [this] { ended_ = true; };
        socket_.on_error_ = [this](const std::string&) { ended_ = true; };
        socket_.adopt(connected.descriptor_);
    }

    explicit raw_client(int port)
    {
        application();
        socket_.on_input_end_ = [this] { ended_ = true; };
        socket_.on_error_ = [this](const std::string&) { ended_ = true; };
        socket_.connect_to({"127.0.0.1", port});
    }

    std::string exchange(const std::string& bytes)
    {
        socket_.write(bytes);
        run_until([this] { return ended_; });
        return socket_.input();
    }

    tcp_socket socket_;
    bool ended_ = false;
};

/// Server that responds to any input with fixed bytes and closes.
struct raw_endpoint
{
    explicit raw_endpoint(std::string response)
        : response_(std::move(response)), listener_(any_port, [this](int fd) {
              sockets_.push_back(std::make_unique<tcp_socket>());
              tcp_socket* socket = sockets_.back().get();
              socket->on_input_ = [this, socket] {
                  socket->input().clear();
                  socket->write(response_);
                  socket->shutdown_write();
              };
              socket->adopt(fd);
          })
    {
    }

    std::string response_;
    std::vector<std::unique_ptr<tcp_socket>> sockets_;
    tcp_listener listener_;
};

/// Connects, sends the bytes and returns the descriptor; -1 if that fails.
/// Needs no event loop: the kernel completes the connection on its own.
int connect_and_send(int port, const std::string& bytes)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Bounds the attempt; the kernel retries a SYN that is ignored after 1 s.
    timeval attempt_time{0, 250'000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &attempt_time,
                 sizeof attempt_time);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) != 0 ||
        ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

http_server::handler echo()
{
    return [](http_request request, const std::shared_ptr<responder>& reply) {
        http_response response;
        response.body_ = request.target_ + request.body_;
        (*reply)(std::move(response));
    };
}

std::string get(const std::string& target,
                const std::string& extra_headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + extra_headers +
           "\r\n";
}

client_outcome fetch(int port, const http_request& request)
{
    application();
    client_connection connection({"127.0.0.1", port}, {});
    std::optional<client_outcome> outcome;
    connection.send(request, 30s,
                    [&](client_outcome result) { outcome = result; });
    CHECK_FALSE(outcome);
    run_until([&] { return outcome.has_value(); });
    return *outcome;
}

std::size_t count_occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != text.npos;
         at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("pipelined requests are answered in order", "[server]")
{
    application();
    // The first response is delayed until the second request could have run.
    std::vector<std::pair<std::string, std::shared_ptr<responder>>> pending;
    http_server server(any_port, {}, [&](http_request request, auto& reply) {
        pending.emplace_back(request.target_, reply);
    });
    raw_client client(server.port());
    client.socket_.write(get("/slow") + get("/fast", "Connection: close\r\n"));
    run_until([&] { return pending.size() == 1; });
    CHECK(pending[0].first == "/slow");
    http_response slow;
    slow.body_ = "slow";
    (*pending[0].second)(slow);
    run_until([&] { return pending.size() == 2; });
    http_response fast;
    fast.body_ = "fast";
    (*pending[1].second)(fast);
    run_until([&] { return client.ended_; });
    const std::string& received = client.socket_.input();
    CHECK(received.find("slow") < received.find("fast"));
    CHECK(count_occurrences(received, "HTTP/1.1 200") == 2);
}

TEST_CASE("a half-closed client still receives its response", "[server]")
{
    application();
    std::shared_ptr<responder> pending;
    http_server server(any_port, {},
                       [&](http_request, auto& reply) { pending = reply; });
    raw_client client(server.port());
    client.socket_.write(get("/x"));
    client.socket_.shutdown_write();
    run_until([&] { return pending != nullptr; });
    // Lets the server see end of input before the response is sent.
    for (int i = 0; i < 20; ++i)
        QCoreApplication::processEvents();
    http_response response;
    response.body_ = "whole";
    (*pending)(response);
    run_until([&] { return client.ended_; });
    CHECK(client.socket_.input().find("whole") != std::string::npos);
}

TEST_CASE("malformed input gets an error status and the server stays up",
          "[server]")
{
    application();
    http_limits limits;
    limits.body_bytes_ = 1000;
    http_server server(any_port, limits, echo());
    auto status = [&](const std::string& bytes) {
        raw_client client(server.port());
        return client.exchange(bytes).substr(9, 3);
    };
    CHECK(status("nonsense\r\n\r\n") == "400");
    CHECK(status(get("/", "A: " + std::string(3'000'000, 'a') + "\r\n")) ==
          "431");
    CHECK(status("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n" +
                 std::string(5000, 'b')) == "413");
    CHECK(status("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n") == "400");
    CHECK(status(get("/ok", "Connection: close\r\n")) == "200");
}

TEST_CASE("a slow request times out with status 408", "[server]")
{
    application();
    http_limits limits;
    limits.header_time_ = 30ms;
    http_server server(any_port, limits, echo());
    raw_client client(server.port());
    CHECK(client.exchange("GET / HT").find(" 408 ") != std::string::npos);
}

TEST_CASE("a stopping server completes requests in flight", "[server]")
{
    application();
    std::shared_ptr<responder> pending;
    http_server server(any_port, {},
                       [&](http_request, auto& reply) { pending = reply; });
    raw_client client(server.port());
    client.socket_.write(get("/x"));
    run_until([&] { return pending != nullptr; });
    server.stop_accepting();
    CHECK(server.requests_in_flight() == 1);
    http_response response;
    response.body_ = "done";
    (*pending)(response);
    run_until([&] { return client.ended_; });
    CHECK(client.socket_.input().find("done") != std::string::npos);
    run_until([&] { return server.connections() == 0; });
}

// Regression: a planned stop reset connections that the kernel had completed
// and the event loop had not accepted yet; their requests got no response.
TEST_CASE("a stopping server answers a connection that waits to be accepted",
          "[server]")
{
    application();
    http_server server(any_port, {}, echo());
    raw_client client(
        connected_socket{connect_and_send(server.port(), get("/x"))});
    server.stop_accepting();
    run_until([&] { return client.ended_; });
    CHECK(client.socket_.input().find(" 200 ") != std::string::npos);
    CHECK(client.socket_.input().find("Connection: close") !=
          std::string::npos);
}

// Regression: as above, for connections that are made during the stop itself.
TEST_CASE("a stopping server answers every connection that it completed",
          "[server]")
{
    application();
    constexpr int caller_count = 4;
    constexpr std::size_t max_connections = 8;
    for (int round = 0; round < 20; ++round) {
        http_server server(any_port, {}, echo());
        int port = server.port();
        std::atomic<int> connected = 0;
        std::atomic<int> cut = 0;
        std::atomic<int> done = 0;
        std::vector<std::thread> callers;
        for (int i = 0; i < caller_count; ++i)
            callers.emplace_back([&] {
                std::deque<int> open;
                auto finish_first = [&] {
                    char byte = 0;
                    cut += ::recv(open.front(), &byte, 1, 0) != 1;
                    ::close(open.front());
                    open.pop_front();
                };
                for (;;) {
                    int descriptor = connect_and_send(port, get("/x"));
                    if (descriptor < 0)
                        break;
                    ++connected;
                    open.push_back(descriptor);
                    if (open.size() == max_connections)
                        finish_first();
                }
                while (!open.empty())
                    finish_first();
                ++done;
            });
        run_until([&] { return connected > 100; });
        server.stop_accepting();
        run_until([&] { return done == caller_count; });
        for (std::thread& caller : callers)
            caller.join();
        CHECK(cut == 0);
    }
}

TEST_CASE("a client that disconnects leaves the server up", "[server]")
{
    application();
    std::shared_ptr<responder> pending;
    http_server server(any_port, {},
                       [&](http_request, auto& reply) { pending = reply; });
    auto client = std::make_unique<raw_client>(server.port());
    client->socket_.write(get("/x"));
    run_until([&] { return pending != nullptr; });
    client.reset();
    http_response response;
    response.body_ = std::string(1 << 22, 'x');
    (*pending)(response);
    run_until([&] { return server.connections() == 0; });
}

TEST_CASE("a truncated response is never reported as complete", "[client]")
{
    std::string status_line = "HTTP/1.1 200 OK\r\n";
    for (const std::string& response :
         {std::string(), status_line,
          status_line + "Content-Length: 9\r\n\r\nshort",
          status_line + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
          status_line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
          status_line + "\r\nuntil the close",
          status_line + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc"}) {
        application();
        raw_endpoint endpoint(response);
        auto outcome = fetch(endpoint.listener_.port(), {});
        INFO(response);
        CHECK(std::holds_alternative<request_unanswered>(outcome));
    }
}

TEST_CASE("a request to a closed port is reported as not sent", "[client]")
{
    application();
    int port = 0;
    {
        tcp_listener closed_listener(any_port, [](int) {});
        port = closed_listener.port();
    }
    CHECK(std::holds_alternative<request_not_sent>(fetch(port, {})));
}

TEST_CASE("a POST is sent once when the endpoint closes without responding",
          "[client]")
{
    raw_endpoint endpoint("");
    http_request request;
    request.method_ = "POST";
    request.headers_.add("Host", "x");
    request.body_ = "once";
    auto outcome = fetch(endpoint.listener_.port(), request);
    CHECK(std::holds_alternative<request_unanswered>(outcome));
    for (int i = 0; i < 50; ++i)
        QCoreApplication::processEvents();
    CHECK(endpoint.sockets_.size() == 1);
}

TEST_CASE("a connection is reused for several requests", "[client]")
{
    application();
    http_server server(any_port, {}, echo());
    client_connection connection({"127.0.0.1", server.port()}, {});
    for (int i = 0; i < 3; ++i) {
        http_request request;
        request.target_ = "/" + std::to_string(i);
        request.headers_.add("Host", "x");
        std::optional<client_outcome> outcome;
        connection.send(request, 30s,
                        [&](client_outcome result) { outcome = result; });
        run_until([&] { return outcome.has_value(); });
        REQUIRE(std::holds_alternative<request_answered>(*outcome));
        CHECK(std::get<request_answered>(*outcome).response_.body_ ==
              request.target_);
        CHECK(connection.is_reusable());
    }
    CHECK(server.connections() == 1);
}

// Regression: with 3,000 workers, idle keep-alive connections used up all
// file descriptors, so that no file could be written and nothing was sent.
TEST_CASE("a server closes after responses when descriptors are low",
          "[server]")
{
    application();
    descriptor_budget budget(10);
    http_server server(any_port, http_limits{},
                       [](const http_request&, const auto& reply) {
                           (*reply)(json_response(200, "{}"));
                       });
    server.set_descriptor_budget(budget);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 5; ++i) {
        clients.push_back(std::make_unique<raw_client>(server.port()));
        clients.back()->socket_.write(request);
        run_until([&] { return !clients.back()->socket_.input().empty(); });
        CHECK(!clients.back()->ended_);
    }
    CHECK(budget.open() == 5);
    raw_client last(server.port());
    CHECK(last.exchange(request).find("200") != std::string::npos);
    clients.clear();
    run_until([&] { return budget.open() == 0; });
}

TEST_CASE("a server accepts no connection once descriptors are exhausted",
          "[server]")
{
    application();
    descriptor_budget budget(10);
    for (int i = 0; i < 9; ++i)
        budget.opened();
    http_server server(any_port, http_limits{}, [](const auto&, const auto&) {
        FAIL("no request should arrive");
    });
    server.set_descriptor_budget(budget);
    raw_client client(server.port());
    CHECK(client.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").empty());
}
