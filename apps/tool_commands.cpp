#include "tool_commands.hpp"

#include "dandelioncrank/core/json.hpp"

#include <QDeadlineTimer>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>
#include <QUuid>

#include <chrono>
#include <functional>
#include <iostream>
#include <map>

namespace dandelioncrank {

namespace {

constexpr int max_submit_attempts = 5;
constexpr unsigned long poll_interval_ms = 200;
// A host that has just started waits for its peers for 3 s before it serves.
constexpr std::chrono::seconds max_start_wait{5};

struct command_context
{
    tool_client& client_;
    const tool_options& options_;
    std::vector<std::string> arguments_;
};

tool_exit_code exit_code_for(int status)
{
    switch (status) {
    case 0:
        return tool_exit_code::failed;
    case 404:
        return tool_exit_code::not_found;
    case 409:
        return tool_exit_code::conflict;
    case 422:
        return tool_exit_code::invalid;
    case 504:
        return tool_exit_code::unknown;
    default:
        break;
    }
    if (status >= 200 && status < 300)
        return tool_exit_code::success;
    return tool_exit_code::refused;
}

/// Whether the same call would get the same response again.
bool is_final(const tool_response& response)
{
    return response.status_ != 0 && response.status_ != 503 &&
           response.status_ != 504;
}

std::string to_display_text(const QJsonValue& value)
{
    if (value.isString())
        return text_of(value).value_or(std::string());
    if (value.isBool())
        return value.toBool() ? "yes" : "no";
    if (value.isDouble())
        return std::to_string(value.toInteger());
    if (value.isArray()) {
        std::string text;
        for (const QJsonValue& item : value.toArray())
            text += (text.empty() ? "" : " ") + to_display_text(item);
        return text;
    }
    return {};
}

void print_json(const QJsonObject& object)
{
    std::cout
        << QJsonDocument(object).toJson(QJsonDocument::Indented).toStdString();
}

/// Prints the non-empty fields as "name: value" lines.
void print_fields(const QJsonObject& object)
{
    for (auto it = object.begin(); it != object.end(); ++it) {
        std::string text = to_display_text(it.value());
        if (!text.empty())
            std::cout << it.key().toStdString() << ": " << text << '\n';
    }
}

void print_findings(const QJsonArray& items)
{
    for (const QJsonValue& value : items) {
        QJsonObject item = value.toObject();
        std::cerr << to_display_text(item["file"]);
        if (item["line"].toInt() > 0)
            std::cerr << ':' << item["line"].toInt() << ':'
                      << item["column"].toInt();
        std::cerr << ": " << to_display_text(item["cause"]) << "; "
                  << to_display_text(item["remedy"]) << '\n';
    }
}

/// Prints the named fields as aligned columns, one row per item.
void print_table(const QJsonArray& items,
                 const std::vector<std::string>& columns)
{
    std::vector<std::vector<std::string>> rows = {columns};
    for (const QJsonValue& value : items) {
        std::vector<std::string> row;
        for (const std::string& column : columns)
            row.push_back(to_display_text(value.toObject()[to_qt(column)]));
        rows.push_back(row);
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            bool last = i + 1 == row.size();
            std::cout << row[i]
                      << (last ? std::string("\n")
                               : std::string(widths[i] - row[i].size() + 2,
                                             ' '));
        }
    }
}

tool_exit_code report_error(const tool_response& response)
{
    if (response.body_.contains("findings"))
        print_findings(response.body_["findings"].toArray());
    else if (response.status_ == 0)
        std::cerr << "dandelioncrank: no response from the daemon: "
                  << response.error_.toStdString() << '\n';
    else
        print_fields(response.body_);
    return exit_code_for(response.status_);
}

tool_exit_code
report_result(const command_context& context, const tool_response& response,
              const std::function<void(const QJsonObject&)>& print)
{
    if (context.options_.json_) {
        print_json(response.body_);
        return exit_code_for(response.status_);
    }
    if (exit_code_for(response.status_) != tool_exit_code::success)
        return report_error(response);
    print(response.body_);
    return tool_exit_code::success;
}

std::optional<std::string> read_file(const std::string& name)
{
    QFile file(to_qt(name));
    if (!file.open(QIODevice::ReadOnly)) {
        std::cerr << name
                  << ": cannot be read: " << file.errorString().toStdString()
                  << '\n';
        return std::nullopt;
    }
    return file.readAll().toStdString();
}

/// Reads a file of UTF-8 text. A byte order mark at its beginning says how it
/// is encoded and is not part of the text.
std::optional<QString> read_text_file(const std::string& name)
{
    auto bytes = read_file(name);
    if (!bytes)
        return std::nullopt;
    if (!is_utf8(*bytes)) {
        std::cerr << name << ": is not a text in UTF-8\n";
        return std::nullopt;
    }
    QString text = to_qt(*bytes);
    if (text.startsWith(QChar::ByteOrderMark))
        text.remove(0, 1);
    return text;
}

// --- Configuration

tool_exit_code check_config(const command_context& context)
{
    tool_exit_code overall = tool_exit_code::success;
    for (const std::string& name : context.arguments_) {
        auto text = read_text_file(name);
        if (!text)
            return tool_exit_code::usage_error;
        auto response = context.client_.post(
            "/v1/config/check", {{"file", to_qt(name)}, {"text", *text}});
        tool_exit_code result =
            report_result(context, response, [&name](const QJsonObject&) {
                std::cout << name << ": valid\n";
            });
        if (result != tool_exit_code::success)
            overall = result;
    }
    return overall;
}

/// Waits for a host that has just started, for at most max_start_wait.
tool_response get_config(const command_context& context)
{
    QDeadlineTimer deadline(max_start_wait);
    tool_response response = context.client_.get("/v1/config");
    while (!is_final(response) && !deadline.hasExpired()) {
        QThread::msleep(poll_interval_ms);
        response = context.client_.get("/v1/config");
    }
    return response;
}

/// Version of the text that a file would replace.
qint64 current_version(const tool_response& config, const QString& text)
{
    QJsonObject texts = config.body_["texts"].toObject();
    // The first line names the subject: "budget: NAME" or "town: NAME".
    QString first_line = text.section('\n', 0, 0).trimmed();
    QString subject = first_line.startsWith("budget:")
                          ? QString("budget")
                          : first_line.section(':', 1).trimmed();
    return texts[subject].toObject()["version"].toInteger(0);
}

tool_exit_code submit_file(const command_context& context,
                           const std::string& name)
{
    auto text = read_text_file(name);
    if (!text)
        return tool_exit_code::usage_error;
    const QString& file_text = *text;
    // All attempts use the same id, so that a retry is not a new submit.
    QString id = context.options_.request_id_.empty()
                     ? QUuid::createUuid().toString(QUuid::WithoutBraces)
                     : to_qt(context.options_.request_id_);
    qint64 replaces = context.options_.replaces_;
    if (replaces < 0) {
        auto config = get_config(context);
        if (exit_code_for(config.status_) != tool_exit_code::success)
            return report_result(context, config, {});
        replaces = current_version(config, file_text);
    }
    QJsonObject request_body{{"file", to_qt(name)},
                             {"text", file_text},
                             {"author", to_qt(context.options_.author_)},
                             {"request_id", id},
                             {"replaces", replaces}};
    tool_response response;
    for (int i = 0; i < max_submit_attempts; ++i) {
        response = context.client_.post("/v1/config/submit", request_body);
        if (is_final(response))
            break;
        QThread::msleep(poll_interval_ms);
    }
    return report_result(context, response, [&name](const QJsonObject& object) {
        std::cout << name << ": " << to_display_text(object["outcome"])
                  << ", version " << to_display_text(object["version"])
                  << ", revision " << to_display_text(object["revision"])
                  << '\n';
    });
}

tool_exit_code submit_config(const command_context& context)
{
    for (const std::string& name : context.arguments_) {
        tool_exit_code result = submit_file(context, name);
        if (result != tool_exit_code::success)
            return result;
    }
    return tool_exit_code::success;
}

tool_exit_code show_config(const command_context& context)
{
    return report_result(
        context, context.client_.get("/v1/config"),
        [](const QJsonObject& object) {
            std::cout << "revision: " << to_display_text(object["revision"])
                      << '\n';
            QJsonObject texts = object["texts"].toObject();
            for (auto it = texts.begin(); it != texts.end(); ++it) {
                QJsonObject item = it.value().toObject();
                std::cout << "\n# " << it.key().toStdString() << " version "
                          << to_display_text(item["version"]) << " by "
                          << to_display_text(item["author"]) << '\n'
                          << to_display_text(item["text"]);
            }
        });
}

// Compares sets of lines; order and repetition of lines are ignored.
tool_exit_code diff_config(const command_context& context)
{
    const std::string& name = context.arguments_.front();
    auto text = read_text_file(name);
    if (!text)
        return tool_exit_code::usage_error;
    auto response = context.client_.get("/v1/config");
    if (exit_code_for(response.status_) != tool_exit_code::success)
        return report_error(response);
    const QString& file_text = *text;
    QString first_line = file_text.section('\n', 0, 0).trimmed();
    QString subject = first_line.startsWith("budget:")
                          ? QString("budget")
                          : first_line.section(':', 1).trimmed();
    QString current_text = response.body_["texts"]
                               .toObject()[subject]
                               .toObject()["text"]
                               .toString();
    QStringList old_lines = current_text.split('\n');
    QStringList new_lines = file_text.split('\n');
    for (const QString& line : old_lines) {
        if (!new_lines.contains(line))
            std::cout << "- " << line.toStdString() << '\n';
    }
    for (const QString& line : new_lines) {
        if (!old_lines.contains(line))
            std::cout << "+ " << line.toStdString() << '\n';
    }
    return tool_exit_code::success;
}

tool_exit_code show_history(const command_context& context)
{
    return report_result(
        context, context.client_.get("/v1/config/history"),
        [](const QJsonObject& object) {
            print_table(object["history"].toArray(),
                        {"revision", "subject", "version", "author", "at"});
        });
}

tool_exit_code show_rollout(const command_context& context)
{
    return report_result(
        context, context.client_.get("/v1/config/rollout"),
        [](const QJsonObject& object) {
            std::cout << "newest: " << to_display_text(object["newest"])
                      << '\n';
            print_table(object["hosts"].toArray(),
                        {"host", "zone", "revision", "serving", "leaving",
                         "voter", "zone_epoch"});
            if (!object["silent"].toArray().isEmpty())
                std::cout << "silent: " << to_display_text(object["silent"])
                          << '\n';
        });
}

// --- Jobs

tool_exit_code submit_job(const command_context& context)
{
    const std::string& name = context.arguments_.front();
    auto text = read_file(name);
    if (!text)
        return tool_exit_code::usage_error;
    auto parsed = parse_json_object(*text);
    if (const auto* error = std::get_if<json_error>(&parsed)) {
        std::cerr << name << ": " << error->cause_ << " at byte "
                  << error->offset_ << '\n';
        return tool_exit_code::usage_error;
    }
    QJsonObject job = std::get<QJsonObject>(parsed);
    if (!job.contains("id"))
        job["id"] = QUuid::createUuid().toString(QUuid::WithoutBraces);
    tool_response response;
    for (int i = 0; i < max_submit_attempts; ++i) {
        response = context.client_.post("/v1/jobs", job);
        if (is_final(response))
            break;
        QThread::msleep(poll_interval_ms);
    }
    return report_result(context, response, print_fields);
}

QString job_path(const command_context& context)
{
    return "/v1/jobs/" + to_qt(context.arguments_.front());
}

tool_exit_code show_job(const command_context& context)
{
    return report_result(context, context.client_.get(job_path(context)),
                         print_fields);
}

tool_exit_code cancel_job(const command_context& context)
{
    return report_result(context, context.client_.remove(job_path(context)),
                         print_fields);
}

tool_exit_code list_jobs(const command_context& context)
{
    return report_result(context, context.client_.get("/v1/jobs"),
                         [](const QJsonObject& object) {
                             print_table(object["jobs"].toArray(),
                                         {"id", "team", "state", "tasks",
                                          "accelerators", "waited_ms"});
                         });
}

tool_exit_code wait_job(const command_context& context)
{
    static const QStringList final_states = {"completed", "failed", "cancelled",
                                             "not-run", "unknown"};
    while (true) {
        tool_response response = context.client_.get(job_path(context));
        bool job_missing = response.status_ == 404;
        QString state = response.body_["state"].toString();
        if (job_missing || final_states.contains(state)) {
            tool_exit_code result =
                report_result(context, response, print_fields);
            bool completed =
                result == tool_exit_code::success && state == "completed";
            return completed || result != tool_exit_code::success
                       ? result
                       : tool_exit_code::refused;
        }
        QThread::msleep(poll_interval_ms);
    }
}

// --- Status

tool_exit_code show_teams(const command_context& context)
{
    return report_result(context, context.client_.get("/v1/teams"),
                         [](const QJsonObject& object) {
                             print_table(object["teams"].toArray(),
                                         {"team", "guaranteed", "used",
                                          "borrowed", "reclaimable", "short",
                                          "waiting", "reclaim_ms"});
                         });
}

tool_exit_code list_workers(const command_context& context)
{
    return report_result(context, context.client_.get("/v1/workers"),
                         [](const QJsonObject& object) {
                             print_table(object["workers"].toArray(),
                                         {"name", "rack", "accelerators",
                                          "free", "reserved", "alive",
                                          "draining", "quarantined"});
                         });
}

tool_exit_code list_endpoints(const command_context& context)
{
    return report_result(context, context.client_.get("/v1/endpoints"),
                         [](const QJsonObject& object) {
                             print_table(object["endpoints"].toArray(),
                                         {"name", "service", "zone", "address",
                                          "slots", "state"});
                         });
}

tool_exit_code replace_voter(const command_context& context)
{
    auto response = context.client_.post(
        "/v1/voters/replace", {{"old", to_qt(context.arguments_[0])},
                               {"new", to_qt(context.arguments_[1])}});
    return report_result(context, response, print_fields);
}

tool_exit_code print_operator_page(const command_context& context,
                                   const QString& path)
{
    auto text = context.client_.get_operator_page(path);
    if (!text) {
        std::cerr << "dandelioncrank: no response from the daemon's operator "
                     "address\n";
        return tool_exit_code::failed;
    }
    auto parsed = parse_json_object(text->toStdString());
    const auto* object = std::get_if<QJsonObject>(&parsed);
    if (path == "/state" && object != nullptr)
        print_json(*object);
    else
        std::cout << text->toStdString();
    return tool_exit_code::success;
}

struct command_entry
{
    std::string name_;
    std::string arguments_;
    std::size_t min_arguments_;
    std::string help_;
    std::function<tool_exit_code(const command_context&)> run_;
};

const std::vector<command_entry>& command_table()
{
    static const std::vector<command_entry> table = {
        {"config check", "FILE...", 1,
         "validate texts against the active ones; changes nothing",
         check_config},
        {"config submit", "FILE...", 1,
         "submit texts; retries when a response is lost", submit_config},
        {"config show", "", 0, "print all active texts", show_config},
        {"config diff", "FILE", 1, "compare a file with the active text",
         diff_config},
        {"config history", "", 0, "list accepted changes (requires a voter)",
         show_history},
        {"config rollout", "", 0, "show each host's revision", show_rollout},
        {"job submit", "FILE", 1, "submit a job described in JSON", submit_job},
        {"job show", "ID", 1, "show a job and why it is waiting", show_job},
        {"job cancel", "ID", 1, "cancel a job", cancel_job},
        {"job list", "", 0, "list unfinished jobs", list_jobs},
        {"job wait", "ID", 1, "wait for a job to finish", wait_job},
        {"team show", "", 0,
         "show guaranteed, used and reclaimable accelerators", show_teams},
        {"worker list", "", 0, "list the workers of the availability zone",
         list_workers},
        {"endpoint list", "", 0, "list endpoints", list_endpoints},
        {"voter replace", "OLD NEW", 2,
         "replace a lost voter (requires the leader)", replace_voter},
        {"state dump", "", 0, "print the full state of a daemon",
         [](const command_context& context) {
             return print_operator_page(context, "/state");
         }},
        {"metrics", "", 0, "print a daemon's metrics",
         [](const command_context& context) {
             return print_operator_page(context, "/metrics");
         }},
    };
    return table;
}

} // namespace

std::string commands_help()
{
    std::string text;
    for (const command_entry& entry : command_table()) {
        std::string synopsis = "  " + entry.name_ +
                               (entry.arguments_.empty() ? "" : " ") +
                               entry.arguments_;
        synopsis.resize(std::max<std::size_t>(synopsis.size() + 2, 28), ' ');
        text += synopsis + entry.help_ + '\n';
    }
    return text;
}

tool_exit_code run_command(tool_client& client, const tool_options& options,
                           const std::vector<std::string>& words)
{
    for (const command_entry& entry : command_table()) {
        std::string candidate;
        std::size_t words_used = 0;
        while (words_used < words.size() &&
               candidate.size() < entry.name_.size()) {
            candidate += (words_used == 0 ? "" : " ") + words[words_used];
            ++words_used;
        }
        if (candidate != entry.name_)
            continue;
        std::vector<std::string> command_arguments(
            words.begin() + static_cast<std::ptrdiff_t>(words_used),
            words.end());
        if (command_arguments.size() < entry.min_arguments_) {
            std::cerr << "usage: dandelioncrank " << entry.name_ << ' '
                      << entry.arguments_ << '\n';
            return tool_exit_code::usage_error;
        }
        return entry.run_({client, options, command_arguments});
    }
    std::cerr << "dandelioncrank: unknown command; run with --help\n";
    return tool_exit_code::usage_error;
}

} // namespace dandelioncrank
