// Stand-in for one minion, written from PROTOCOL.md. It has one process, so
// that a script can stop, kill and restart it.
//
// usage: minion --id=ID --address=IP:PORT --service=NAME --controls=IP:PORT,...
//               --record=FILE [--gpu=N] [--cpu=N] [--rack=NAME] [--label=NAME]
//
// What a work item needs and how long it runs is not part of /run-start, so it
// stands in the job's Spec: "ms=3000 gpu=8 ...". ms=0 runs until it is stopped.
#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr std::int64_t longest_lease_ms = 6000;
constexpr auto heartbeat_interval = 1500ms;
constexpr auto call_timeout = 1000ms;
constexpr auto drain_time = 2500ms;
constexpr std::size_t ends_per_page = 500;

std::map<std::string, std::string> options;
std::atomic<bool> stop_requested = false;

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string option(const std::string& name, const std::string& otherwise = "")
{
    auto found = options.find(name);
    return found == options.end() ? otherwise : found->second;
}

void record(const std::string& text)
{
    static std::FILE* file = std::fopen(option("record").c_str(), "a");
    std::fprintf(file, "%lld %s %s\n", static_cast<long long>(wall_ms()),
                 option("id").c_str(), text.c_str());
    std::fflush(file);
}

/// The number after `name=` in a Spec.
std::int64_t number_in(const std::string& spec, const std::string& name)
{
    auto at = spec.find(name + '=');
    return at == std::string::npos
               ? 0
               : std::atoll(spec.c_str() + at + name.size() + 1);
}

std::string to_hex(const std::string& text)
{
    return QByteArray::fromStdString(text).toHex().toStdString();
}

// --- HTTP

struct address_text
{
    std::string host_;
    int port_ = 0;
};

address_text split_address(const std::string& text)
{
    auto colon = text.find(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

sockaddr_in to_sockaddr(const std::string& text)
{
    address_text parts = split_address(text);
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(parts.port_));
    ::inet_pton(AF_INET, parts.host_.c_str(), &result.sin_addr);
    return result;
}

struct message
{
    std::string start_line_;
    std::map<std::string, std::string> headers_;
    std::string body_;
};

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) {
                       return static_cast<char>(std::tolower(character));
                   });
    return text;
}

/// Reads one message; nothing if the channel ends before it is whole.
std::optional<message> read_message(int channel, std::string& buffer,
                                    clock_type::time_point deadline)
{
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    message result;
    while (true) {
        if (head_end == std::string::npos) {
            head_end = buffer.find("\r\n\r\n");
            if (head_end != std::string::npos) {
                std::size_t at = buffer.find("\r\n");
                result.start_line_ = buffer.substr(0, at);
                while (at < head_end) {
                    std::size_t next = buffer.find("\r\n", at + 2);
                    std::string line = buffer.substr(at + 2, next - at - 2);
                    at = next;
                    auto colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    auto value = line.find_first_not_of(' ', colon + 1);
                    result.headers_[to_lower(line.substr(0, colon))] =
                        value == std::string::npos ? "" : line.substr(value);
                }
                auto found = result.headers_.find("content-length");
                if (found != result.headers_.end())
                    length = static_cast<std::size_t>(
                        std::atoll(found->second.c_str()));
            }
        }
        if (head_end != std::string::npos &&
            buffer.size() >= head_end + 4 + length) {
            result.body_ = buffer.substr(head_end + 4, length);
            buffer.erase(0, head_end + 4 + length);
            return result;
        }
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - clock_type::now());
        pollfd item{channel, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&item, 1, static_cast<int>(left.count())) <= 0)
            return std::nullopt;
        char bytes[16384];
        auto count = ::recv(channel, bytes, sizeof bytes, 0);
        if (count <= 0)
            return std::nullopt;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

bool write_all(int channel, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        auto count = ::send(channel, bytes.data() + done, bytes.size() - done,
                            MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

std::string to_bytes(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

struct answer
{
    int status_ = 0;
    std::string location_;
    QJsonObject body_;
};

/// Sends one call; status 0 if there is no answer within a second.
answer call(const std::string& address, const std::string& path,
            const QJsonObject& body)
{
    answer result;
    int channel = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target = to_sockaddr(address);
    timeval limit{1, 0};
    ::setsockopt(channel, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    std::string bytes = to_bytes(body);
    std::string request = "POST " + path + " HTTP/1.1\r\nHost: " + address +
                          "\r\nContent-Type: application/json\r\n" +
                          "Content-Length: " + std::to_string(bytes.size()) +
                          "\r\nConnection: close\r\n\r\n" + bytes;
    bool is_sent = ::connect(channel, reinterpret_cast<sockaddr*>(&target),
                             sizeof target) == 0 &&
                   write_all(channel, request);
    if (is_sent) {
        std::string buffer;
        auto reply =
            read_message(channel, buffer, clock_type::now() + call_timeout);
        if (reply && reply->start_line_.size() > 12) {
            result.status_ = std::atoi(reply->start_line_.c_str() + 9);
            result.location_ = reply->headers_["location"];
            result.body_ =
                QJsonDocument::fromJson(QByteArray::fromStdString(reply->body_))
                    .object();
        }
    }
    ::close(channel);
    return result;
}

/// Sends a call and follows a 307 twice.
answer call_redirected(std::string address, const std::string& path,
                       const QJsonObject& body)
{
    answer result;
    for (int i = 0; i < 3; ++i) {
        result = call(address, path, body);
        if (result.status_ != 307)
            return result;
        std::string rest = result.location_.substr(std::strlen("http://"));
        address = rest.substr(0, rest.find('/'));
    }
    return result;
}

// --- The minion

struct run_entry
{
    std::int64_t run_ = 0;
    std::string spec_;
    clock_type::time_point began_;
    std::int64_t length_ms_ = 0;
    std::int64_t gpu_ = 0;
    std::int64_t cpu_ = 0;
};

struct end_entry
{
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
};

class minion
{
  public:
    minion()
        : began_(clock_type::now()), born_(wall_ms()),
          gpu_(std::atoll(option("gpu", "8").c_str())),
          cpu_(std::atoll(option("cpu", "64000").c_str()))
    {
    }

    /// Ends what is over; call with the mutex held.
    void advance()
    {
        auto now = clock_type::now();
        std::vector<std::string> over;
        for (const auto& [task, entry] : running_) {
            auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - entry.began_);
            if (entry.length_ms_ > 0 && age.count() >= entry.length_ms_)
                over.push_back(task);
        }
        for (const std::string& task : over)
            end(task, "done");
        if (!running_.empty() && clock_ms() > lease_until_) {
            over.clear();
            for (const auto& item : running_)
                over.push_back(item.first);
            for (const std::string& task : over)
                end(task, "lapsed");
        }
    }

    int handle(const message& request, QJsonObject& reply)
    {
        std::unique_lock lock(mutex_);
        advance();
        auto expected = request.headers_.find("x-expected-instance");
        if (expected != request.headers_.end() &&
            expected->second != option("id"))
            return 421;
        QJsonObject body =
            QJsonDocument::fromJson(QByteArray::fromStdString(request.body_))
                .object();
        reply["ClockMs"] = static_cast<qint64>(clock_ms());
        reply["born"] = static_cast<qint64>(born_);
        std::int64_t token = body["FencingToken"].toInteger();
        if (token < token_) {
            reply["Reason"] = "fence";
            return 409;
        }
        token_ = token;
        bool is_start = request.start_line_.find("/run-start ") != npos;
        bool is_stop = request.start_line_.find("/run-stop ") != npos;
        bool is_hold = request.start_line_.find("/hold ") != npos;
        if (is_start)
            return start(body, reply);
        if (is_stop)
            return stop(body);
        return is_hold ? hold(body, reply, lock) : 400;
    }

    QJsonObject describe(const std::string& state)
    {
        std::unique_lock lock(mutex_);
        QJsonObject body;
        body["Service"] = QString::fromStdString(option("service"));
        body["Address"] = QString::fromStdString(option("address"));
        body["Zone"] = QString::fromStdString(option("zone", "leon"));
        body["Version"] = "v1";
        body["Slots"] = 8;
        body["State"] = QString::fromStdString(state);
        body["ColdRemainingMs"] = 0;
        body["Capacity"] = QJsonObject{{"Cpu", static_cast<qint64>(cpu_)},
                                       {"MemMb", 131072},
                                       {"Gpu", static_cast<qint64>(gpu_)}};
        body["Labels"] =
            QJsonArray{QString::fromStdString(option("label", "a")),
                       QString::fromStdString(option("rack", "r1-1"))};
        body["ClockMs"] = static_cast<qint64>(clock_ms());
        body["Sequence"] = static_cast<qint64>(++sequence_);
        body["born"] = static_cast<qint64>(born_);
        return body;
    }

    [[nodiscard]] std::int64_t born() const { return born_; }

    /// Ends work that is over, and wakes up calls that wait for an end.
    void watch()
    {
        while (true) {
            std::this_thread::sleep_for(10ms);
            std::unique_lock lock(mutex_);
            advance();
        }
    }

  private:
    static constexpr auto npos = std::string::npos;

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return 1'000'000 +
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   clock_type::now() - began_)
                   .count();
    }

    void extend_lease(const QJsonObject& body)
    {
        if (!body.contains("DeadlineMs"))
            return;
        std::int64_t until = std::min<std::int64_t>(
            body["DeadlineMs"].toInteger(), clock_ms() + longest_lease_ms);
        lease_until_ = std::max(lease_until_, until);
    }

    void end(const std::string& task, const std::string& how)
    {
        const run_entry entry = running_.at(task);
        running_.erase(task);
        blocked_[task] = std::max(blocked_[task], entry.run_);
        ends_.push_back({++last_end_, task, entry.run_, how});
        record("END " + task + " run " + std::to_string(entry.run_) + ' ' +
               how);
        changed_.notify_all();
    }

    int start(const QJsonObject& body, QJsonObject& reply)
    {
        std::string task = body["Task"].toString().toStdString();
        std::string spec = body["Spec"].toString().toStdString();
        std::int64_t run = body["Run"].toInteger();
        auto found = running_.find(task);
        if (found != running_.end() && found->second.run_ == run) {
            extend_lease(body);
            return 200;
        }
        if (found != running_.end() || run <= blocked_[task]) {
            extend_lease(body);
            reply["Reason"] = "old";
            return 409;
        }
        if (body["DeadlineMs"].toInteger() <= clock_ms()) {
            reply["Reason"] = "late";
            return 409;
        }
        run_entry entry{run,
                        spec,
                        clock_type::now(),
                        number_in(spec, "ms"),
                        number_in(spec, "gpu"),
                        number_in(spec, "cpu")};
        std::int64_t gpu = entry.gpu_;
        std::int64_t cpu = entry.cpu_;
        for (const auto& item : running_) {
            gpu += item.second.gpu_;
            cpu += item.second.cpu_;
        }
        extend_lease(body);
        if (gpu > gpu_ || cpu > cpu_) {
            reply["Reason"] = "room";
            return 409;
        }
        // The bytes of the Spec, as they stood in the call.
        record("START " + task + " run " + std::to_string(run) + " spec " +
               to_hex(spec));
        running_.emplace(task, entry);
        return 200;
    }

    int stop(const QJsonObject& body)
    {
        std::string task = body["Task"].toString().toStdString();
        std::int64_t run = body["Run"].toInteger();
        blocked_[task] = std::max(blocked_[task], run);
        auto found = running_.find(task);
        if (found != running_.end() && found->second.run_ <= run)
            end(task, "stopped");
        return 200;
    }

    int hold(const QJsonObject& body, QJsonObject& reply,
             std::unique_lock<std::mutex>& lock)
    {
        extend_lease(body);
        std::int64_t cursor = body["AckCursor"].toInteger();
        std::erase_if(ends_, [cursor](const end_entry& item) {
            return item.number_ <= cursor;
        });
        auto wait = std::chrono::milliseconds(body["WaitMs"].toInteger());
        changed_.wait_for(lock, wait, [this] { return !ends_.empty(); });
        QJsonArray running;
        for (const auto& [task, entry] : running_) {
            auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                clock_type::now() - entry.began_);
            std::int64_t percent =
                entry.length_ms_ == 0
                    ? 100
                    : std::min<std::int64_t>(99, 100 * age.count() /
                                                     entry.length_ms_);
            running.append(QJsonArray{QString::fromStdString(task),
                                      static_cast<qint64>(entry.run_), "",
                                      static_cast<qint64>(percent),
                                      static_cast<qint64>(entry.cpu_)});
        }
        QJsonArray finished;
        for (std::size_t i = 0; i < std::min(ends_.size(), ends_per_page); ++i)
            finished.append(QJsonArray{static_cast<qint64>(ends_[i].number_),
                                       QString::fromStdString(ends_[i].task_),
                                       static_cast<qint64>(ends_[i].run_),
                                       QString::fromStdString(ends_[i].how_),
                                       ""});
        reply["ClockMs"] = static_cast<qint64>(clock_ms());
        reply["Running"] = running;
        reply["Finished"] = finished;
        return 200;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    clock_type::time_point began_;
    std::int64_t born_;
    std::int64_t gpu_;
    std::int64_t cpu_;
    std::int64_t sequence_ = 0;
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t last_end_ = 0;
    std::map<std::string, run_entry> running_;
    /// By work item: the highest run that was stopped or has ended.
    std::map<std::string, std::int64_t> blocked_;
    std::vector<end_entry> ends_;
};

std::string reason_phrase(int status)
{
    return status == 200 ? "OK" : "Refused";
}

void serve(minion& self, int channel)
{
    std::string buffer;
    while (auto request =
               read_message(channel, buffer, clock_type::now() + 60s)) {
        QJsonObject reply;
        int status = self.handle(*request, reply);
        std::string body = status == 421 ? "" : to_bytes(reply);
        std::string bytes = "HTTP/1.1 " + std::to_string(status) + ' ' +
                            reason_phrase(status) +
                            "\r\nContent-Type: application/json\r\n" +
                            "Content-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body;
        if (!write_all(channel, bytes))
            break;
    }
    ::close(channel);
}

void accept_calls(minion& self, int listener)
{
    while (true) {
        int channel = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (channel < 0)
            continue;
        int enable = 1;
        ::setsockopt(channel, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
        std::thread(serve, std::ref(self), channel).detach();
    }
}

/// Announces the minion once; true if that was acknowledged.
bool announce(minion& self, std::string& endpoint, const std::string& state)
{
    std::vector<std::string> targets;
    if (!endpoint.empty())
        targets.push_back(endpoint);
    std::string controls = option("controls");
    for (std::size_t at = 0; at < controls.size();) {
        std::size_t comma = std::min(controls.find(',', at), controls.size());
        targets.push_back(controls.substr(at, comma - at));
        at = comma + 1;
    }
    for (const std::string& target : targets) {
        answer result =
            call_redirected(target, "/instances/" + option("id") + "/heartbeat",
                            self.describe(state));
        if (result.status_ >= 200 && result.status_ < 300) {
            endpoint =
                result.body_["HeartbeatEndpoint"].toString().toStdString();
            return true;
        }
        endpoint.clear();
    }
    return false;
}

void deregister(minion& self)
{
    QJsonObject body{{"born", static_cast<qint64>(self.born())}};
    std::string controls = option("controls");
    auto until = clock_type::now() + 4s;
    while (clock_type::now() < until) {
        for (std::size_t at = 0; at < controls.size();) {
            std::size_t comma =
                std::min(controls.find(',', at), controls.size());
            answer result = call_redirected(
                controls.substr(at, comma - at),
                "/instances/" + option("id") + "/deregister", body);
            if (result.status_ >= 200 && result.status_ < 300)
                return;
            at = comma + 1;
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        std::string text = argv[i];
        auto equals = text.find('=');
        if (text.starts_with("--") && equals != std::string::npos)
            options[text.substr(2, equals - 2)] = text.substr(equals + 1);
    }
    std::signal(SIGTERM, [](int) { stop_requested = true; });
    int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enable = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    sockaddr_in address = to_sockaddr(option("address"));
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 64) != 0) {
        std::perror("minion");
        return 2;
    }
    minion self;
    record("UP " + option("address") + ' ' + option("service"));
    std::thread([&self] { self.watch(); }).detach();
    std::thread([&self, listener] { accept_calls(self, listener); }).detach();
    std::string endpoint;
    while (!stop_requested) {
        bool is_known = announce(self, endpoint, "ready");
        auto until =
            clock_type::now() +
            (is_known ? heartbeat_interval : std::chrono::milliseconds(300));
        while (!stop_requested && clock_type::now() < until)
            std::this_thread::sleep_for(20ms);
    }
    auto give_up = clock_type::now() + 8s;
    while (!announce(self, endpoint, "draining") && clock_type::now() < give_up)
        std::this_thread::sleep_for(200ms);
    record("DRAINING");
    auto until = clock_type::now() + drain_time;
    while (clock_type::now() < until) {
        std::this_thread::sleep_for(800ms);
        announce(self, endpoint, "draining");
    }
    deregister(self);
    record("GONE");
    std::_Exit(0);
}
