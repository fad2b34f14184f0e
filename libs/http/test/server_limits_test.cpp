// Clients that hold the resources of a server.
#include "dandelioncrank/http/http_server.hpp"

#include <QCoreApplication>
#include <QEventLoop>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

const host_port any_port{"127.0.0.1", 0};
constexpr std::size_t body_bytes = 700'000;
constexpr std::size_t limit_bytes = 2'200'000;

QCoreApplication& application()
{
    static int argc = 1;
    static char name[] = "test";
    static char* argv[] = {name, nullptr};
    static QCoreApplication instance(argc, argv);
    return instance;
}

template <class Condition>
void run_until(Condition condition)
{
    application();
    instant deadline = steady_now() + 60s;
    while (!condition() && steady_now() < deadline)
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 100);
    REQUIRE(condition());
}

struct test_client
{
    explicit test_client(const http_server& server,
                         const std::string& bytes = {})
    {
        application();
        socket_.on_input_end_ = [this] { ended_ = true; };
        socket_.on_error_ = [this](const std::string&) { ended_ = true; };
        socket_.on_connected_ = [this] { connected_ = true; };
        socket_.connect_to({"127.0.0.1", server.port()});
        socket_.write(bytes);
    }

    [[nodiscard]] bool has_received(const std::string& text)
    {
        return socket_.input().find(text) != std::string::npos;
    }

    tcp_socket socket_;
    bool connected_ = false;
    bool ended_ = false;
};

std::string large_head()
{
    return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n";
}

http_server::handler answer_size()
{
    return [](const http_request& request, const auto& reply) {
        http_response response;
        response.body_ = "size " + std::to_string(request.body_.size());
        (*reply)(std::move(response));
    };
}

} // namespace

// Guards against bodies that together outgrow the memory: the later one is not
// read, and small requests pass.
TEST_CASE("a large body waits while another one is read", "[server_limits]")
{
    application();
    buffer_budget budget(limit_bytes);
    http_server server(any_port, {}, answer_size());
    server.set_buffer_budget(budget);
    test_client first(server, large_head() + "a");
    run_until([&] { return budget.used_bytes() >= body_bytes; });
    test_client second(server, large_head() + std::string(body_bytes, 'a'));
    test_client small(server, "POST /a HTTP/1.1\r\nHost: x\r\n"
                              "Content-Length: 3\r\n\r\nabc");
    run_until([&] { return small.has_received("size 3"); });
    CHECK(budget.used_bytes() < 2 * body_bytes);
    // The first one sends nothing more, so the second takes its place.
    run_until([&] { return first.has_received(" 503 "); });
    CHECK(first.has_received("Retry-After: 1"));
    run_until([&] {
        return second.has_received("size " + std::to_string(body_bytes));
    });
    CHECK(budget.requests_refused_for_memory_ == 1);
    first.socket_.close();
    second.socket_.close();
    small.socket_.close();
    run_until([&] { return server.connections() == 0; });
    CHECK(budget.used_bytes() == 0);
}

// Guards against bodies that wait unread in the kernel, without a bound.
TEST_CASE("a body beyond those that may wait is refused at once",
          "[server_limits]")
{
    application();
    buffer_budget budget(limit_bytes);
    http_limits limits;
    // One body may wait.
    limits.socket_buffer_bytes_ = limit_bytes / 2;
    http_server server(any_port, limits, answer_size());
    server.set_buffer_budget(budget);
    test_client first(server, large_head() + "a");
    run_until([&] { return budget.used_bytes() >= body_bytes; });
    std::vector<std::unique_ptr<test_client>> others;
    for (int i = 0; i < 3; ++i)
        others.push_back(std::make_unique<test_client>(
            server, large_head() + std::string(body_bytes, 'a')));
    auto count = [&others](const std::string& text) {
        return std::count_if(
            others.begin(), others.end(),
            [&text](const auto& item) { return item->has_received(text); });
    };
    run_until([&] { return count("Retry-After: 1") == 2; });
    run_until([&] { return count("size " + std::to_string(body_bytes)) == 1; });
}

// Guards against answers that are never read and stay in memory.
TEST_CASE("answers that are not read are given up when memory is short",
          "[server_limits]")
{
    application();
    constexpr std::size_t answer_bytes = 8'000'000;
    buffer_budget budget(answer_bytes + answer_bytes / 2);
    http_server server(any_port, {},
                       [](const http_request&, const auto& reply) {
                           http_response response;
                           response.body_ = std::string(answer_bytes, 'a');
                           (*reply)(std::move(response));
                       });
    server.set_buffer_budget(budget);
    std::vector<std::unique_ptr<test_client>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<test_client>(
            server, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"));
        clients.back()->socket_.set_reading(false);
    }
    run_until([&] { return budget.connections_closed_for_memory_ >= 3; });
    CHECK(budget.used_bytes() < budget.limit_bytes());
}

// Guards against clients that keep out others by open connections alone.
TEST_CASE("the connection that is idle longest makes room for a new one",
          "[server_limits]")
{
    application();
    buffer_budget budget(1'000'000);
    descriptor_budget descriptors(10);
    http_server server(any_port, {}, answer_size());
    server.set_buffer_budget(budget);
    server.set_descriptor_budget(descriptors);
    std::vector<std::unique_ptr<test_client>> idle;
    for (std::size_t i = 1; i <= 9; ++i) {
        idle.push_back(std::make_unique<test_client>(server));
        run_until([&] { return server.connections() == i; });
    }
    test_client caller(server, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    run_until([&] { return caller.has_received("size 0"); });
    run_until([&] { return idle.front()->ended_; });
    CHECK_FALSE(idle.back()->ended_);
    CHECK(budget.connections_closed_idle_ == 1);
}
