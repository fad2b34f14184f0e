// Stand-in for requesters that hand in many small jobs, written from the users'
// protocol page. Prints how many were accepted, and the time in ms.
//
//     requester ADDRESSES PATH-PREFIX KEY JOBS CONNECTIONS SPEC-BYTES
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

int open_connection(const std::string& address)
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    int enable = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    timeval limit{3, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    auto colon = address.rfind(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    target.sin_port = htons(
        static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&target),
                sizeof target) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

/// Sends a request and reads the response; returns its status, or 0.
int exchange(int descriptor, const std::string& request)
{
    if (send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size()))
        return 0;
    std::string text;
    while (true) {
        char chunk[4096];
        auto got = recv(descriptor, chunk, sizeof chunk, 0);
        if (got <= 0)
            return 0;
        text.append(chunk, static_cast<std::size_t>(got));
        auto end = text.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        auto at = text.find("Content-Length:");
        auto length =
            at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 15);
        if (text.size() >= end + 4 + static_cast<std::size_t>(length))
            return std::atoi(text.c_str() + 9);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 7)
        return 2;
    std::vector<std::string> addresses;
    std::istringstream list(argv[1]);
    for (std::string address; std::getline(list, address, ',');)
        addresses.push_back(address);
    std::string prefix = argv[2];
    std::string key = argv[3];
    long jobs = std::atol(argv[4]);
    int connections = std::atoi(argv[5]);
    std::string spec = "work=20 cpu=500 ";
    spec.resize(static_cast<std::size_t>(std::atol(argv[6])), 'x');
    std::string body =
        R"({"Spec":")" + spec +
        R"(","Steps":[{"Count":1,"Cpu":500,"MemMb":64,"EstimatedMs":20}]})";
    auto began = std::chrono::steady_clock::now();
    auto run = static_cast<std::uint32_t>(
        std::chrono::system_clock::now().time_since_epoch().count() / 1000);
    std::atomic<long> next{0};
    std::atomic<long> accepted{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < connections; ++i)
        threads.emplace_back([&, i] {
            std::size_t where = static_cast<std::size_t>(i);
            int descriptor = -1;
            for (long n = next++; n < jobs; n = next++) {
                char id[17];
                std::snprintf(id, sizeof id, "%08x%08lx", run, n);
                // The same request again, at another node, until it is clear.
                for (int attempt = 0; attempt < 20; ++attempt) {
                    const std::string& address =
                        addresses[where % addresses.size()];
                    if (descriptor < 0)
                        descriptor = open_connection(address);
                    std::string request =
                        "POST " + prefix + id +
                        " HTTP/1.1\r\nHost: h.example\r\nX-Key: " + key +
                        "\r\nX-Deadline-Ms: 3000\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
                    int status =
                        descriptor < 0 ? 0 : exchange(descriptor, request);
                    if (status / 100 == 2) {
                        ++accepted;
                        break;
                    }
                    if (descriptor >= 0)
                        close(descriptor);
                    descriptor = -1;
                    ++where;
                    std::this_thread::sleep_for(std::chrono::milliseconds(200));
                }
            }
            if (descriptor >= 0)
                close(descriptor);
        });
    for (std::thread& thread : threads)
        thread.join();
    auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - began);
    std::printf("accepted %ld of %ld in %lld ms\n", accepted.load(), jobs,
                static_cast<long long>(time.count()));
}
