// Stand-ins of the third review: a minion, and one call of a requester or of
// the operator. Speaks what PROTOCOL.md says, and needs no library.
//
//   standin ports N
//   standin call METHOD IP:PORT PATH [name=value ...]
//   standin minion name=value ...
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using text_map = std::map<std::string, std::string>;

std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

text_map read_options(int argc, char** argv, int first)
{
    text_map result;
    for (int i = first; i < argc; ++i) {
        std::string word = argv[i];
        auto at = word.find('=');
        if (at != std::string::npos)
            result[word.substr(0, at)] = word.substr(at + 1);
    }
    return result;
}

std::string option(const text_map& options, const std::string& name,
                   const std::string& value = {})
{
    auto found = options.find(name);
    return found == options.end() ? value : found->second;
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> result;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        result.push_back(part);
    return result;
}

// --- HTTP

struct message
{
    std::string first_line_;
    text_map headers_;
    std::string body_;
};

sockaddr_in parse_address(const std::string& text)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    auto at = text.rfind(':');
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(at + 1))));
    inet_pton(AF_INET, text.substr(0, at).c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char item) {
        return item >= 'A' && item <= 'Z' ? static_cast<char>(item + 32) : item;
    });
    return text;
}

/// Reads one message; the rest stays in the buffer.
std::optional<message> read_message(int descriptor, std::string& buffer)
{
    auto fill = [&] {
        char bytes[16384];
        auto count = recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return std::nullopt;
    }
    message result;
    std::istringstream head(buffer.substr(0, end));
    std::getline(head, result.first_line_);
    if (!result.first_line_.empty() && result.first_line_.back() == '\r')
        result.first_line_.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        auto at = line.find(':');
        if (at == std::string::npos)
            continue;
        auto value = line.find_first_not_of(' ', at + 1);
        result.headers_[lower(line.substr(0, at))] =
            value == std::string::npos ? "" : line.substr(value);
    }
    buffer.erase(0, end + 4);
    std::size_t size = 0;
    if (result.headers_.contains("content-length"))
        size = std::stoul(result.headers_["content-length"]);
    while (buffer.size() < size) {
        if (!fill())
            return std::nullopt;
    }
    result.body_ = buffer.substr(0, size);
    buffer.erase(0, size);
    return result;
}

bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        auto count = send(descriptor, bytes.data() + done, bytes.size() - done,
                          MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void set_time_limit(int descriptor, std::int64_t time)
{
    timeval limit{time / 1000, (time % 1000) * 1000};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

struct answer
{
    /// 0 if none came.
    int status_ = 0;
    text_map headers_;
    std::string body_;
};

answer call(const std::string& method, const std::string& address,
            const std::string& path, const text_map& headers,
            const std::string& body, std::int64_t time)
{
    answer result;
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    set_time_limit(descriptor, time);
    int enable = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    sockaddr_in peer = parse_address(address);
    bool is_connected = connect(descriptor, reinterpret_cast<sockaddr*>(&peer),
                                sizeof peer) == 0;
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\n";
    if (!headers.contains("Host"))
        bytes += "Host: " + address + "\r\n";
    for (const auto& [name, value] : headers)
        bytes += name + ": " + value + "\r\n";
    bytes += "Content-Type: application/json\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    if (is_connected && send_all(descriptor, bytes)) {
        if (auto reply = read_message(descriptor, buffer)) {
            result.status_ = std::atoi(reply->first_line_.c_str() + 9);
            result.headers_ = reply->headers_;
            result.body_ = reply->body_;
        }
    }
    close(descriptor);
    return result;
}

/// A call to the control plane: hosts in turn, a redirect is followed twice.
answer call_control(const std::vector<std::string>& hosts, std::size_t first,
                    const std::string& method, const std::string& path,
                    const std::string& body, std::int64_t time)
{
    answer result;
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        std::string address = hosts[(first + n) % hosts.size()];
        for (int step = 0; step < 3; ++step) {
            result = call(method, address, path, {}, body, time);
            if (result.status_ != 307)
                break;
            std::string location = result.headers_["location"].substr(7);
            address = location.substr(0, location.find('/'));
        }
        bool is_final = result.status_ >= 200 && result.status_ < 500 &&
                        result.status_ != 307 && result.status_ != 408 &&
                        result.status_ != 429;
        if (is_final)
            return result;
    }
    return result;
}

// --- JSON, as far as the calls need it

std::optional<std::string> field(const std::string& body,
                                 const std::string& name)
{
    auto at = body.find('"' + name + "\":");
    if (at == std::string::npos)
        return std::nullopt;
    at += name.size() + 3;
    if (body[at] == '"') {
        auto end = body.find('"', at + 1);
        return body.substr(at + 1, end - at - 1);
    }
    auto end = body.find_first_of(",}", at);
    return body.substr(at, end - at);
}

/// The bytes of a string that stands in JSON, as far as the cases use it.
std::string to_hex(std::string text)
{
    const std::string escaped = "\\ufeff";
    const std::string mark = "\xef\xbb\xbf";
    for (auto at = text.find(escaped); at != std::string::npos;
         at = text.find(escaped))
        text.replace(at, escaped.size(), mark);
    std::string result;
    for (char item : text) {
        char digits[3];
        std::snprintf(digits, sizeof digits, "%02x",
                      static_cast<unsigned>(static_cast<unsigned char>(item)));
        result += digits;
    }
    return result;
}

std::int64_t number(const std::string& body, const std::string& name)
{
    auto text = field(body, name);
    return text ? std::stoll(*text) : 0;
}

// --- The minion

struct run_state
{
    std::int64_t begun_ = 0;
};

struct ended_run
{
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
};

class minion
{
  public:
    explicit minion(const text_map& options)
        : id_(option(options, "id")), address_(option(options, "address")),
          zone_(option(options, "zone", "z1")),
          rack_(option(options, "rack", "r1-1")),
          service_(option(options, "service", "planning")),
          controls_(split(option(options, "controls"), ',')),
          events_(option(options, "events"), std::ios::app),
          longest_lease_(std::stoll(option(options, "longest_lease", "6000"))),
          work_ms_(std::stoll(option(options, "work_ms", "0"))),
          unhealthy_after_(
              std::stoll(option(options, "unhealthy_after_ms", "-1"))),
          deaf_marker_(option(options, "deaf_marker")),
          deaf_for_(std::stoll(option(options, "deaf_for_ms", "0"))),
          unhealthy_for_(std::stoll(option(options, "unhealthy_for_ms", "0"))),
          started_at_(steady_ms()), born_(unix_ms())
    {
    }

    int run()
    {
        int listener = socket(AF_INET, SOCK_STREAM, 0);
        int enable = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
        sockaddr_in own = parse_address(address_);
        if (bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof own) !=
                0 ||
            listen(listener, 128) != 0) {
            std::perror("listen");
            return 2;
        }
        note("is up, born " + std::to_string(born_));
        std::thread([this] { announce(); }).detach();
        std::thread([this] { watch(); }).detach();
        for (;;) {
            int descriptor = accept(listener, nullptr, nullptr);
            if (descriptor < 0)
                continue;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable,
                       sizeof enable);
            std::thread([this, descriptor] { serve(descriptor); }).detach();
        }
    }

  private:
    using run_key = std::pair<std::string, std::int64_t>;

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return steady_ms() - started_at_;
    }

    void note(const std::string& what)
    {
        events_ << unix_ms() << ' ' << id_ << ' ' << what << std::endl;
    }

    void announce()
    {
        std::size_t host = 0;
        for (std::int64_t sequence = 1;; ++sequence) {
            std::ostringstream body;
            body << R"({"Service":")" << service_ << R"(","Address":")"
                 << address_ << R"(","Zone":")" << zone_
                 << R"(","Version":"v1","Slots":8,"State":"ready",)"
                 << R"("ColdRemainingMs":0,"Capacity":{"Cpu":64000,)"
                 << R"("MemMb":131072,"Gpu":8},"Labels":["a",")" << rack_
                 << R"("],"ClockMs":)" << clock_ms() << R"(,"Sequence":)"
                 << sequence << R"(,"born":)" << born_ << '}';
            answer reply = call_control(controls_, host, "POST",
                                        "/instances/" + id_ + "/heartbeat",
                                        body.str(), 1000);
            bool is_acknowledged = reply.status_ >= 200 && reply.status_ < 300;
            if (!is_acknowledged)
                ++host;
            sleep_ms(is_acknowledged ? 1500 : 200);
        }
    }

    /// Ends runs that are done and runs whose lease is over.
    void watch()
    {
        for (;; sleep_ms(5)) {
            std::lock_guard lock(mutex_);
            advance();
        }
    }

    void advance()
    {
        std::int64_t now = clock_ms();
        std::vector<std::pair<run_key, const char*>> over;
        for (const auto& [key, item] : runs_) {
            if (work_ms_ > 0 && now - item.begun_ >= work_ms_)
                over.emplace_back(key, "done");
            else if (now >= lease_end_)
                over.emplace_back(key, "lapsed");
        }
        for (const auto& [key, how] : over)
            end(key, how);
    }

    void end(const run_key& key, const std::string& how)
    {
        runs_.erase(key);
        ends_.push_back({++last_end_, key.first, key.second, how});
        blocked_[key.first] = std::max(blocked_[key.first], key.second);
        note("run ended: " + key.first + " run " + std::to_string(key.second) +
             ' ' + how);
        changed_.notify_all();
    }

    void serve(int descriptor)
    {
        std::string buffer;
        while (auto request = read_message(descriptor, buffer)) {
            auto words = split(request->first_line_, ' ');
            auto [status, body] = handle(
                words.size() > 1 ? words[1] : "",
                request->headers_["x-expected-instance"], request->body_);
            // No answer: the caller gives up, and closes the connection.
            if (status == 0)
                continue;
            std::string bytes =
                "HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!send_all(descriptor, bytes))
                break;
        }
        close(descriptor);
    }

    [[nodiscard]] std::pair<int, std::string> refuse(const char* reason) const
    {
        return {409, R"({"ClockMs":)" + std::to_string(clock_ms()) +
                         R"(,"Reason":")" + reason + "\"}"};
    }

    [[nodiscard]] std::pair<int, std::string> plain(int status) const
    {
        return {status, R"({"ClockMs":)" + std::to_string(clock_ms()) + '}'};
    }

    std::pair<int, std::string> handle(const std::string& path,
                                       const std::string& expected,
                                       const std::string& body)
    {
        std::unique_lock lock(mutex_);
        advance();
        if (expected != id_)
            return {421, "{}"};
        if (is_unhealthy())
            return plain(503);
        run_key key{field(body, "Task").value_or(""), number(body, "Run")};
        if (path == "/run-start" && is_deaf(key))
            return {0, ""};
        std::int64_t token = number(body, "FencingToken");
        if (token < token_)
            return refuse("fence");
        token_ = token;
        if (auto deadline = field(body, "DeadlineMs"))
            lease_end_ =
                std::max(lease_end_,
                         std::min<std::int64_t>(std::stoll(*deadline),
                                                clock_ms() + longest_lease_));
        if (path == "/hold")
            return hold(body, lock);
        if (path == "/run-start")
            return start(key, body);
        if (path == "/run-stop")
            return stop(key);
        return {404, "{}"};
    }

    /// The first minion that is to start a work item of step 1 leaves all
    /// starts unanswered from then on, and does nothing for them.
    bool is_deaf(const run_key& key)
    {
        bool is_step_1 = split(key.first, '.').at(2) == "1";
        if (deaf_until_ == 0 && is_step_1 && !deaf_marker_.empty()) {
            int file = open(deaf_marker_.c_str(), O_CREAT | O_EXCL, 0600);
            if (file < 0)
                return false;
            close(file);
            deaf_until_ = clock_ms() + deaf_for_;
            note("answers no start for " + std::to_string(deaf_for_) +
                 " ms, and does nothing for it; other calls are answered");
        }
        bool result = clock_ms() < deaf_until_;
        if (result)
            note("leaves start unanswered: " + key.first + " run " +
                 std::to_string(key.second));
        return result;
    }

    std::pair<int, std::string> start(const run_key& key,
                                      const std::string& body)
    {
        if (runs_.contains(key))
            return plain(200);
        if (key.second <= blocked_[key.first])
            return refuse("old");
        if (number(body, "DeadlineMs") <= clock_ms())
            return refuse("late");
        runs_[key] = {clock_ms()};
        note("run started: " + key.first + " run " +
             std::to_string(key.second));
        note("its Spec in hexadecimal: " +
             to_hex(field(body, "Spec").value_or("")));
        return plain(200);
    }

    std::pair<int, std::string> stop(const run_key& key)
    {
        std::vector<run_key> stopped;
        for (const auto& item : runs_) {
            if (item.first.first == key.first &&
                item.first.second <= key.second)
                stopped.push_back(item.first);
        }
        for (const run_key& item : stopped)
            end(item, "stopped");
        blocked_[key.first] = std::max(blocked_[key.first], key.second);
        return plain(200);
    }

    std::pair<int, std::string> hold(const std::string& body,
                                     std::unique_lock<std::mutex>& lock)
    {
        std::int64_t cursor = number(body, "AckCursor");
        std::erase_if(ends_, [cursor](const ended_run& item) {
            return item.number_ <= cursor;
        });
        std::int64_t wait =
            std::min<std::int64_t>(number(body, "WaitMs"), 2000);
        changed_.wait_for(lock, std::chrono::milliseconds(wait),
                          [this] { return !ends_.empty(); });
        std::ostringstream result;
        result << R"({"ClockMs":)" << clock_ms() << R"(,"born":)" << born_
               << R"(,"Running":[)";
        const char* comma = "";
        for (const auto& [key, item] : runs_) {
            std::int64_t percent =
                work_ms_ > 0
                    ? std::min<std::int64_t>(99, (clock_ms() - item.begun_) *
                                                     100 / work_ms_)
                    : 100;
            result << comma << "[\"" << key.first << "\"," << key.second
                   << ",\"\"," << percent << ']';
            comma = ",";
        }
        result << R"(],"Finished":[)";
        comma = "";
        for (const ended_run& item : ends_) {
            result << comma << '[' << item.number_ << ",\"" << item.task_
                   << "\"," << item.run_ << ",\"" << item.how_ << "\",\"\"]";
            comma = ",";
        }
        result << "]}";
        become_unhealthy();
        return {200, result.str()};
    }

    /// Once, between two calls, when a run has lasted long enough.
    void become_unhealthy()
    {
        bool is_due =
            unhealthy_after_ >= 0 && unhealthy_until_ == 0 && !runs_.empty() &&
            clock_ms() - runs_.begin()->second.begun_ >= unhealthy_after_;
        if (!is_due)
            return;
        unhealthy_until_ = clock_ms() + unhealthy_for_;
        note("is unhealthy for " + std::to_string(unhealthy_for_) +
             " ms: it answers each call with 503 and does nothing for it; "
             "lease left: " +
             std::to_string(lease_end_ - clock_ms()) + " ms");
    }

    bool is_unhealthy()
    {
        if (unhealthy_until_ == 0 || was_well_again_)
            return false;
        if (clock_ms() < unhealthy_until_)
            return true;
        was_well_again_ = true;
        note("is well again");
        return false;
    }

    std::string id_;
    std::string address_;
    std::string zone_;
    std::string rack_;
    std::string service_;
    std::vector<std::string> controls_;
    std::ofstream events_;
    std::int64_t longest_lease_;
    /// How long a work item takes; 0: until it is stopped.
    std::int64_t work_ms_;
    std::int64_t unhealthy_after_;
    std::string deaf_marker_;
    std::int64_t deaf_for_;
    std::int64_t unhealthy_for_;
    std::int64_t started_at_;
    std::int64_t born_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<run_key, run_state> runs_;
    std::vector<ended_run> ends_;
    std::map<std::string, std::int64_t> blocked_;
    std::int64_t last_end_ = 0;
    std::int64_t token_ = 0;
    std::int64_t lease_end_ = 0;
    std::int64_t unhealthy_until_ = 0;
    /// Until when starts get no answer and are not carried out.
    std::int64_t deaf_until_ = 0;
    bool was_well_again_ = false;
};

// --- Commands

int print_ports(int count)
{
    std::vector<int> descriptors;
    for (int i = 0; i < count; ++i) {
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = parse_address("127.0.0.1:0");
        socklen_t size = sizeof address;
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0)
            return 2;
        getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        std::cout << ntohs(address.sin_port) << ' ';
        descriptors.push_back(descriptor);
    }
    std::cout << '\n';
    for (int descriptor : descriptors)
        close(descriptor);
    return 0;
}

int make_call(int argc, char** argv)
{
    text_map options = read_options(argc, argv, 5);
    text_map headers;
    for (const auto& [name, value] : options) {
        if (name == "host")
            headers["Host"] = value;
        if (name == "key")
            headers["X-Key"] = value;
        if (name == "deadline_ms")
            headers["X-Deadline-Ms"] = value;
    }
    std::int64_t time = std::stoll(option(options, "time_ms", "3000"));
    auto hosts = split(argv[3], ',');
    answer reply = option(options, "to") == "control"
                       ? call_control(hosts, 0, argv[2], argv[4],
                                      option(options, "body"), time)
                       : call(argv[2], hosts.front(), argv[4], headers,
                              option(options, "body"), time);
    std::cout << reply.status_ << ' ' << reply.body_ << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string command = argc > 1 ? argv[1] : "";
    if (command == "ports" && argc > 2)
        return print_ports(std::atoi(argv[2]));
    if (command == "call" && argc > 4)
        return make_call(argc, argv);
    if (command == "minion")
        return minion(read_options(argc, argv, 2)).run();
    std::cerr
        << "standin ports N | call METHOD ADDRESS PATH ... | minion ...\n";
    return 2;
}
