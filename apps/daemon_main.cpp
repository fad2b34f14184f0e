#include "dandelioncrank/node/daemon_node.hpp"
#include "dandelioncrank/node/node_settings.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>

#include <sys/signalfd.h>
#include <unistd.h>

namespace {

using namespace dandelioncrank;

constexpr int exit_invalid_settings = 2;

/// Blocks SIGTERM and SIGINT and returns a signalfd for them. Must run before
/// other threads start, so that they inherit the signal mask.
int open_signal_descriptor()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    return ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

int run(const node_settings& settings, QCoreApplication& application)
{
    int signal_descriptor = open_signal_descriptor();
    auto node = std::make_unique<daemon_node>(settings);
    QSocketNotifier notifier(signal_descriptor, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        signalfd_siginfo info{};
        [[maybe_unused]] auto bytes_read =
            ::read(signal_descriptor, &info, sizeof info);
        node->begin_stop([] { QCoreApplication::exit(EXIT_SUCCESS); });
    });
    int result = application.exec();
    node.reset();
    ::close(signal_descriptor);
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    settings_result result = read_node_settings(argc, argv);
    if (result.help_requested_) {
        std::cout << result.help_;
        return EXIT_SUCCESS;
    }
    if (!result.faults_.empty()) {
        std::cerr << result.faults_.to_text();
        return exit_invalid_settings;
    }
    QCoreApplication application(argc, argv);
    start_logging(result.settings_.host_.str(), result.settings_.log_level_);
    try {
        return run(result.settings_, application);
    } catch (const std::exception& error) {
        std::cerr << "dandelioncrankd: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
