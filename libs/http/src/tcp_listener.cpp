#include "dandelioncrank/http/tcp_listener.hpp"

#include <array>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <system_error>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dandelioncrank {

namespace {

constexpr int listen_backlog = 1024;
constexpr int max_accepts_per_wakeup = 64;
constexpr std::uint32_t tcp_flags_offset_bytes = 13;
constexpr std::uint32_t whole_segment =
    std::numeric_limits<std::uint32_t>::max();

[[noreturn]] void throw_last_error(const std::string& what)
{
    throw std::system_error(errno, std::generic_category(), what);
}

} // namespace

tcp_listener::tcp_listener(const host_port& address, accept_handler on_accept)
    : on_accept_(std::move(on_accept))
{
    descriptor_ =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0)
        throw_last_error("socket");
    int enable = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEPORT, &enable, sizeof enable);
    sockaddr_in bind_address{};
    bind_address.sin_family = AF_INET;
    bind_address.sin_port = htons(static_cast<std::uint16_t>(address.port_));
    bool parsed = ::inet_pton(AF_INET, address.host_.c_str(),
                              &bind_address.sin_addr) == 1;
    if (!parsed) {
        ::close(descriptor_);
        errno = EINVAL;
        throw_last_error("address " + address.to_text());
    }
    bool bound = ::bind(descriptor_, reinterpret_cast<sockaddr*>(&bind_address),
                        sizeof bind_address) == 0 &&
                 ::listen(descriptor_, listen_backlog) == 0;
    if (!bound) {
        int error = errno;
        ::close(descriptor_);
        errno = error;
        throw_last_error("listen on " + address.to_text());
    }
    notifier_ =
        std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated,
                     [this] { handle_readable(); });
}

tcp_listener::~tcp_listener()
{
    notifier_.reset();
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

int tcp_listener::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void tcp_listener::ignore_new_connections()
{
    std::array code{
        sock_filter BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset_bytes),
        sock_filter BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        sock_filter BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        sock_filter BPF_STMT(BPF_RET | BPF_K, 0),
        sock_filter BPF_STMT(BPF_RET | BPF_K, whole_segment)};
    sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                 sizeof program);
}

void tcp_listener::accept_all()
{
    while (accept_next()) {
    }
}

void tcp_listener::handle_readable()
{
    int accepted = 0;
    while (accepted < max_accepts_per_wakeup && accept_next())
        ++accepted;
}

bool tcp_listener::accept_next()
{
    int accepted =
        ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
        return false;
    on_accept_(accepted);
    return true;
}

} // namespace dandelioncrank
