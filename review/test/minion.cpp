// Stand-in for one minion, written from the users' protocol page. It runs work
// items, holds leases, guards its capacity and announces itself.
//
// The Spec of a job tells what the minion has to do:
//     "work=8000 cpu=1000 gpu=1"   work in ms and the needs of a work item
//     "lasts"                      runs until it is stopped
//     "percent"                    reports whole percents of the work done
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct options
{
    std::string id_, service_, address_, zone_, record_, labels_;
    std::vector<std::string> control_;
    std::int64_t cpu_ = 64000, memory_mb_ = 131072, gpu_ = 8;
    std::int64_t beat_ms_ = 1500, longest_hold_ms_ = 6000, stop_ms_ = 200;
};

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> result;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        if (!part.empty())
            result.push_back(part);
    return result;
}

std::int64_t number_in(const std::string& spec, const std::string& name,
                       std::int64_t otherwise)
{
    for (const std::string& word : split(spec, ' '))
        if (word.rfind(name + "=", 0) == 0)
            return std::atoll(word.c_str() + name.size() + 1);
    return otherwise;
}

bool has_word(const std::string& spec, const std::string& name)
{
    std::vector<std::string> words = split(spec, ' ');
    return std::find(words.begin(), words.end(), name) != words.end();
}

sockaddr_in socket_address(const std::string& text)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    auto colon = text.rfind(':');
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return result;
}

/// Reads one HTTP message; empty if the connection ends first.
std::optional<std::pair<std::string, std::string>>
read_message(int descriptor, std::string& buffer)
{
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (end == std::string::npos) {
            end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::string head = buffer.substr(0, end);
                for (char& c : head)
                    c = static_cast<char>(std::tolower(c));
                auto at = head.find("content-length:");
                if (at != std::string::npos)
                    length = static_cast<std::size_t>(
                        std::atoll(head.c_str() + at + 15));
            }
        }
        if (end != std::string::npos && buffer.size() >= end + 4 + length) {
            std::string head = buffer.substr(0, end);
            std::string body = buffer.substr(end + 4, length);
            buffer.erase(0, end + 4 + length);
            return std::pair(head, body);
        }
        char chunk[16384];
        auto got = recv(descriptor, chunk, sizeof chunk, 0);
        if (got <= 0)
            return std::nullopt;
        buffer.append(chunk, static_cast<std::size_t>(got));
    }
}

bool write_all(int descriptor, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        auto sent = send(descriptor, bytes.data() + done, bytes.size() - done,
                         MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

struct running_item
{
    std::int64_t run_ = 0;
    std::string spec_;
    clock_type::time_point since_;
    std::optional<clock_type::time_point> stop_at_;

    [[nodiscard]] std::int64_t worked_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(clock_type::now() -
                                                        since_)
            .count();
    }
    [[nodiscard]] int percent() const
    {
        if (has_word(spec_, "lasts"))
            return worked_ms() > 500 ? 100 : 0;
        std::int64_t work = number_in(spec_, "work", 1000);
        return static_cast<int>(
            std::min<std::int64_t>(99, worked_ms() * 100 / work));
    }
};

struct ended_item
{
    std::int64_t number_ = 0;
    std::string task_;
    std::int64_t run_ = 0;
    std::string how_;
};

class minion
{
  public:
    explicit minion(options settings)
        : settings_(std::move(settings)), born_(unix_ms()),
          began_(clock_type::now())
    {
        note("boot", "", 0, "");
    }

    void serve()
    {
        int listener = socket(AF_INET, SOCK_STREAM, 0);
        int enable = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
        sockaddr_in address = socket_address(settings_.address_);
        if (bind(listener, reinterpret_cast<sockaddr*>(&address),
                 sizeof address) != 0 ||
            listen(listener, 128) != 0) {
            std::perror("minion");
            std::exit(2);
        }
        std::thread([this] { keep_time(); }).detach();
        std::thread([this] { announce(); }).detach();
        while (true) {
            int descriptor = accept(listener, nullptr, nullptr);
            if (descriptor < 0)
                continue;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable,
                       sizeof enable);
            std::thread([this, descriptor] { serve_one(descriptor); }).detach();
        }
    }

  private:
    [[nodiscard]] std::int64_t clock_ms() const
    {
        return 100000 + std::chrono::duration_cast<milliseconds>(
                            clock_type::now() - began_)
                            .count();
    }

    void note(const std::string& what, const std::string& task,
              std::int64_t run, const std::string& more)
    {
        if (settings_.record_.empty())
            return;
        char line[512];
        int size = std::snprintf(
            line, sizeof line, "%lld minion %s %s %s run %lld %s\n",
            static_cast<long long>(unix_ms()), settings_.id_.c_str(),
            what.c_str(), task.c_str(), static_cast<long long>(run),
            more.c_str());
        std::FILE* file = std::fopen(settings_.record_.c_str(), "a");
        if (file == nullptr)
            return;
        std::fwrite(line, 1, static_cast<std::size_t>(size), file);
        std::fclose(file);
    }

    // --- Work. The mutex is held.

    void end(std::string task, const std::string& how)
    {
        auto found = running_.find(task);
        if (found == running_.end())
            return;
        std::int64_t run = found->second.run_;
        running_.erase(found);
        highest_ended_[task] = std::max(highest_ended_[task], run);
        ended_.push_back({++last_end_, task, run, how});
        note("end", task, run, how);
        changed_.notify_all();
    }

    void advance()
    {
        if (!running_.empty() && clock_ms() >= lease_end_) {
            while (!running_.empty())
                end(running_.begin()->first, "lapsed");
            return;
        }
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto& [task, item] : running_) {
            if (item.stop_at_ && clock_type::now() >= *item.stop_at_)
                over.emplace_back(task, "stopped");
            else if (!has_word(item.spec_, "lasts") &&
                     item.worked_ms() >= number_in(item.spec_, "work", 1000))
                over.emplace_back(task, "done");
        }
        for (const auto& [task, how] : over)
            end(task, how);
    }

    void keep_time()
    {
        while (true) {
            std::this_thread::sleep_for(milliseconds(5));
            std::lock_guard lock(mutex_);
            advance();
        }
    }

    void extend_lease(const QJsonObject& body)
    {
        if (!body.contains("DeadlineMs"))
            return;
        std::int64_t deadline =
            std::min<std::int64_t>(body["DeadlineMs"].toInteger(),
                                   clock_ms() + settings_.longest_hold_ms_);
        lease_end_ = std::max(lease_end_, deadline);
    }

    [[nodiscard]] bool has_room(const std::string& spec) const
    {
        std::int64_t cpu = number_in(spec, "cpu", 1000);
        std::int64_t gpu = number_in(spec, "gpu", 0);
        for (const auto& [task, item] : running_) {
            cpu += number_in(item.spec_, "cpu", 1000);
            gpu += number_in(item.spec_, "gpu", 0);
        }
        return cpu <= settings_.cpu_ && gpu <= settings_.gpu_;
    }

    std::string start(const QJsonObject& body)
    {
        std::string task = body["Task"].toString().toStdString();
        std::int64_t run = body["Run"].toInteger();
        std::string spec = body["Spec"].toString().toStdString();
        auto found = running_.find(task);
        if (found != running_.end() && found->second.run_ == run) {
            extend_lease(body);
            return {};
        }
        auto ended = highest_ended_.find(task);
        if ((ended != highest_ended_.end() && run <= ended->second) ||
            found != running_.end()) {
            extend_lease(body);
            return "old";
        }
        if (body["DeadlineMs"].toInteger() <= clock_ms())
            return "late";
        extend_lease(body);
        if (!has_room(spec))
            return "room";
        running_[task] = {run, spec, clock_type::now(), std::nullopt};
        note("start", task, run, "born " + std::to_string(born_));
        return {};
    }

    void stop(const QJsonObject& body)
    {
        std::string task = body["Task"].toString().toStdString();
        std::int64_t run = body["Run"].toInteger();
        auto found = running_.find(task);
        if (found != running_.end() && found->second.run_ <= run) {
            if (!found->second.stop_at_)
                note("stop", task, run, "");
            found->second.stop_at_ = found->second.stop_at_.value_or(
                clock_type::now() + milliseconds(settings_.stop_ms_));
        } else if (found == running_.end()) {
            highest_ended_[task] = std::max(highest_ended_[task], run);
        }
    }

    void hold(const QJsonObject& body, QJsonObject& answer,
              std::unique_lock<std::mutex>& lock)
    {
        std::int64_t cursor = body["AckCursor"].toInteger();
        while (!ended_.empty() && ended_.front().number_ <= cursor) {
            note("acked", ended_.front().task_, ended_.front().run_,
                 ended_.front().how_);
            ended_.pop_front();
        }
        extend_lease(body);
        auto wait = milliseconds(
            std::min<std::int64_t>(2000, body["WaitMs"].toInteger()));
        changed_.wait_for(lock, wait, [this] { return !ended_.empty(); });
        QJsonArray running;
        for (const auto& [task, item] : running_)
            running.append(QJsonArray{QString::fromStdString(task),
                                      static_cast<qint64>(item.run_), "",
                                      item.percent(), 0});
        QJsonArray finished;
        for (const ended_item& item : ended_) {
            if (finished.size() >= 500)
                break;
            finished.append(QJsonArray{static_cast<qint64>(item.number_),
                                       QString::fromStdString(item.task_),
                                       static_cast<qint64>(item.run_),
                                       QString::fromStdString(item.how_), ""});
        }
        answer["Running"] = running;
        answer["Finished"] = finished;
        answer["born"] = static_cast<qint64>(born_);
    }

    // --- Calls

    std::string handle(const std::string& head, const std::string& text)
    {
        std::string path = split(head, ' ').at(1);
        std::string instance;
        for (const std::string& line : split(head, '\n')) {
            std::string name = line.substr(0, line.find(':'));
            for (char& c : name)
                c = static_cast<char>(std::tolower(c));
            if (name == "x-expected-instance") {
                instance = line.substr(line.find(':') + 1);
                while (!instance.empty() && instance.front() == ' ')
                    instance.erase(0, 1);
                while (!instance.empty() &&
                       (instance.back() == '\r' || instance.back() == ' '))
                    instance.pop_back();
            }
        }
        if (path == settings_health_)
            return answer_text(200, {});
        if (!instance.empty() && instance != settings_.id_)
            return answer_text(421, {});
        QJsonObject body =
            QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
        std::unique_lock lock(mutex_);
        advance();
        std::int64_t token = body["FencingToken"].toInteger();
        QJsonObject answer;
        answer["ClockMs"] = static_cast<qint64>(clock_ms());
        if (token < fence_) {
            answer["Reason"] = "fence";
            return answer_text(409, answer);
        }
        fence_ = token;
        if (path == "/run-start") {
            std::string reason = start(body);
            if (reason.empty())
                return answer_text(200, answer);
            note("rejected", body["Task"].toString().toStdString(),
                 body["Run"].toInteger(), reason);
            answer["Reason"] = QString::fromStdString(reason);
            return answer_text(409, answer);
        }
        if (path == "/run-stop") {
            stop(body);
            return answer_text(200, answer);
        }
        if (path == "/hold") {
            hold(body, answer, lock);
            answer["ClockMs"] = static_cast<qint64>(clock_ms());
            return answer_text(200, answer);
        }
        return answer_text(404, {});
    }

    static std::string answer_text(int status, const QJsonObject& object)
    {
        std::string body =
            QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
        return "HTTP/1.1 " + std::to_string(status) +
               " X\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void serve_one(int descriptor)
    {
        std::string buffer;
        while (auto message = read_message(descriptor, buffer)) {
            if (!write_all(descriptor, handle(message->first, message->second)))
                break;
        }
        close(descriptor);
    }

    // --- Announcements

    std::string beat()
    {
        QJsonObject body;
        body["Service"] = QString::fromStdString(settings_.service_);
        body["Address"] = QString::fromStdString(settings_.address_);
        body["Zone"] = QString::fromStdString(settings_.zone_);
        body["Version"] = "v1";
        body["Slots"] = 8;
        body["State"] = "ready";
        body["ColdRemainingMs"] = 0;
        body["Capacity"] =
            QJsonObject{{"Cpu", static_cast<qint64>(settings_.cpu_)},
                        {"MemMb", static_cast<qint64>(settings_.memory_mb_)},
                        {"Gpu", static_cast<qint64>(settings_.gpu_)}};
        QJsonArray labels;
        for (const std::string& label : split(settings_.labels_, ','))
            labels.append(QString::fromStdString(label));
        body["Labels"] = labels;
        body["ClockMs"] = static_cast<qint64>(clock_ms());
        body["Sequence"] = static_cast<qint64>(++sequence_);
        body["born"] = static_cast<qint64>(born_);
        return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
    }

    /// Sends a ping. Returns the status, and where to go next.
    std::pair<int, std::string> ping(const std::string& address)
    {
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        timeval limit{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        sockaddr_in target = socket_address(address);
        std::pair<int, std::string> result{0, {}};
        std::string body;
        {
            std::lock_guard lock(mutex_);
            body = beat();
        }
        std::string buffer;
        if (connect(descriptor, reinterpret_cast<sockaddr*>(&target),
                    sizeof target) == 0 &&
            write_all(descriptor,
                      "POST /instances/" + settings_.id_ +
                          "/heartbeat HTTP/1.1\r\nHost: " + address +
                          "\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body)) {
            if (auto message = read_message(descriptor, buffer)) {
                result.first = std::atoi(message->first.c_str() + 9);
                auto at = message->first.find("Location: http://");
                if (result.first == 307 && at != std::string::npos) {
                    std::string rest = message->first.substr(at + 17);
                    result.second = rest.substr(0, rest.find('/'));
                }
                QJsonObject answer =
                    QJsonDocument::fromJson(
                        QByteArray::fromStdString(message->second))
                        .object();
                if (result.first == 200)
                    result.second =
                        answer["HeartbeatEndpoint"].toString().toStdString();
            }
        }
        close(descriptor);
        return result;
    }

    void announce()
    {
        std::string preferred;
        std::size_t next = 0;
        while (true) {
            bool is_acked = false;
            for (std::size_t i = 0; i <= settings_.control_.size(); ++i) {
                std::string target =
                    !preferred.empty()
                        ? preferred
                        : settings_
                              .control_[next++ % settings_.control_.size()];
                preferred.clear();
                auto [status, where] = ping(target);
                for (int hops = 0; status == 307 && hops < 2; ++hops)
                    std::tie(status, where) = ping(std::string(where));
                if (status / 100 != 2)
                    continue;
                is_acked = true;
                preferred = where;
                break;
            }
            std::this_thread::sleep_for(
                milliseconds(is_acked ? settings_.beat_ms_ : 100));
        }
    }

    options settings_;
    std::string settings_health_ = "/healthz";
    std::int64_t born_;
    clock_type::time_point began_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, running_item> running_;
    std::map<std::string, std::int64_t> highest_ended_;
    std::deque<ended_item> ended_;
    std::int64_t last_end_ = 0;
    std::int64_t lease_end_ = 0;
    std::int64_t fence_ = 0;
    std::int64_t sequence_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    options settings;
    for (int i = 1; i + 1 < argc; i += 2) {
        std::string name = argv[i];
        std::string value = argv[i + 1];
        if (name == "--id")
            settings.id_ = value;
        else if (name == "--service")
            settings.service_ = value;
        else if (name == "--address")
            settings.address_ = value;
        else if (name == "--zone")
            settings.zone_ = value;
        else if (name == "--record")
            settings.record_ = value;
        else if (name == "--labels")
            settings.labels_ = value;
        else if (name == "--control")
            settings.control_ = split(value, ',');
        else if (name == "--cpu")
            settings.cpu_ = std::atoll(value.c_str());
        else if (name == "--gpu")
            settings.gpu_ = std::atoll(value.c_str());
        else if (name == "--hold")
            settings.longest_hold_ms_ = std::atoll(value.c_str());
        else if (name == "--beat")
            settings.beat_ms_ = std::atoll(value.c_str());
    }
    signal(SIGPIPE, SIG_IGN);
    minion(settings).serve();
}
