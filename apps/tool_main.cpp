#include "dandelioncrank/settings/settings_reader.hpp"
#include "tool_commands.hpp"

#include <QCoreApplication>

#include <absl/flags/flag.h>

#include <iostream>

ABSL_FLAG(std::string, control, "127.0.0.1:7002",
          "IP:PORT of a daemon's control address");
ABSL_FLAG(std::string, operator_page, "127.0.0.1:7004",
          "IP:PORT of a daemon's operator address");
ABSL_FLAG(std::string, token, "", "bearer token for operator calls");
ABSL_FLAG(std::string, author, "operator",
          "author recorded with submitted texts");
ABSL_FLAG(std::string, request_id, "",
          "id of a submit; reuse it to retry after a lost response");
ABSL_FLAG(int, replaces, -1,
          "version that a submit replaces; -1 for the current one");
ABSL_FLAG(bool, json, false, "print JSON");

namespace {

using namespace dandelioncrank;

const char* const usage_help =
    "dandelioncrank: controls a group of dandelioncrankd daemons\n"
    "\n"
    "usage: dandelioncrank [settings] COMMAND [ARGUMENTS]\n"
    "\n"
    "commands:\n";

const char* const exit_code_help =
    "\nexit codes: 0 success, 1 no response, 2 usage error, 3 findings,\n"
    "4 conflict, 5 refused, 6 unknown (retry with the same id),\n"
    "7 not found\n"
    "\nsettings:\n";

} // namespace

int main(int argc, char** argv)
{
    settings_reader reader("DANDELIONCRANK_TOOL",
                           {"control", "operator_page", "token", "author",
                            "request_id", "replaces", "json"});
    parsed_arguments parsed = reader.read(argc, argv);
    if (parsed.help_requested_) {
        std::cout << usage_help << commands_help() << exit_code_help
                  << reader.help();
        return static_cast<int>(tool_exit_code::success);
    }
    if (!parsed.faults_.empty()) {
        std::cerr << parsed.faults_.to_text();
        return static_cast<int>(tool_exit_code::usage_error);
    }
    QCoreApplication application(argc, argv);
    tool_client client(absl::GetFlag(FLAGS_control),
                       absl::GetFlag(FLAGS_operator_page),
                       absl::GetFlag(FLAGS_token));
    tool_options options;
    options.json_ = absl::GetFlag(FLAGS_json);
    options.author_ = absl::GetFlag(FLAGS_author);
    options.request_id_ = absl::GetFlag(FLAGS_request_id);
    options.replaces_ = absl::GetFlag(FLAGS_replaces);
    return static_cast<int>(run_command(client, options, parsed.positional_));
}
