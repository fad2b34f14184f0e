// Memory of a control host whose state is filled up to its limit, by the form
// of the jobs: state_memory_bench FORM DIRECTORY. One JSON line for the fill; a
// second call with the same directory measures the restart.
#include "pool_state_machine.hpp"

#include "dandelioncrank/pool/state_weight.hpp"
#include "dandelioncrank/replica/replica.hpp"

#include <cstdio>
#include <fstream>
#include <string>

using namespace dandelioncrank;
using namespace std::chrono_literals;

namespace {

constexpr int max_commands = 100'000;
constexpr int config_count = 1'600;
constexpr std::size_t config_bytes = 124'000;

/// Reads a line of /proc/self/status, in kB.
long memory_kb(const std::string& name)
{
    std::ifstream status("/proc/self/status");
    std::string word;
    long value = 0;
    while (status >> word) {
        if (word == name + ':' && status >> value)
            return value;
    }
    return 0;
}

pool::job_spec make_spec(const std::string& form)
{
    pool::job_spec spec;
    pool::step_spec step;
    step.count_ = 16;
    step.need_ = {1000, 1000, 1};
    if (form == "payloads") {
        step.count_ = 1;
        spec.payload_.assign(4000, 'x');
    } else if (form == "wide") {
        step.count_ = 10'000;
    } else if (form == "occurrences") {
        step.count_ = 94;
        spec.repeats_ = 1000;
        spec.first_due_ms_ = 1LL << 60;
        spec.interval_ms_ = 60'000;
    } else if (form == "steps") {
        step.count_ = 1;
        spec.steps_.assign(400, step);
    }
    if (spec.steps_.empty())
        spec.steps_ = {step};
    return spec;
}

pool::pool_config make_config(std::uint64_t version)
{
    pool::pool_config config;
    config.version_ = version;
    pool::queue_route route;
    route.host_ = "a.example";
    route.prefix_ = "/batch/";
    route.is_public_ = true;
    route.policy_.name_ = "batch";
    route.policy_.service_ = service_name("rota");
    config.routes_.push_back(route);
    return config;
}

class bench
{
  public:
    bench(const std::string& directory)
        : replica_(directory, origin(), 1, steady_now(),
                   [](const consensus_message&) {})
    {
        replica_.tick(steady_now() + 1min);
        replica_.tick(steady_now());
    }

    pool::pool_reply propose(const pool::pool_command& command)
    {
        auto result = pool::pool_reply::rejected;
        replica_.propose(to_wire(pool::pool_batch{command}), steady_now(),
                         [&result](commit_result, auto replies) {
                             if (replies)
                                 result = replies->front();
                         });
        return result;
    }

    /// Returns the number of jobs accepted.
    int fill(const std::string& form)
    {
        propose(pool::put_config{make_config(1)});
        for (int i = 1; form == "configs" && i < config_count; ++i) {
            pool::pool_config config = make_config(1 + i);
            config.text_.assign(config_bytes, 'x');
            propose(pool::put_config{config});
        }
        int accepted = 0;
        pool::accept_job job;
        job.spec_ = make_spec(form);
        job.weight_limit_ = pool::default_weight_limit;
        for (int i = 0; form != "configs" && i < max_commands; ++i) {
            char name[17];
            std::snprintf(name, sizeof name, "%016x", i);
            job.spec_.id_ = job_id(name);
            job.access_ = {"a.example", std::string("/batch/") + name, ""};
            job.accepted_ms_ = i;
            job.request_ = "entry-host-1-" + std::to_string(i);
            if (propose(job) != pool::pool_reply::applied)
                break;
            ++accepted;
            if (form == "final")
                propose(pool::cancel_job{job.spec_.id_, job.access_});
        }
        return accepted;
    }

    void report(const std::string& form, int accepted) const
    {
        const pool::pool_state& state = replica_.machine().state();
        std::printf("{\"form\":\"%s\",\"accepted\":%d,\"weight\":%llu,"
                    "\"snapshot_bytes\":%lld,\"rss_kb\":%ld,\"peak_kb\":%ld}\n",
                    form.c_str(), accepted,
                    static_cast<unsigned long long>(state.weight()),
                    static_cast<long long>(state.snapshot().size()),
                    memory_kb("VmRSS"), memory_kb("VmHWM"));
    }

  private:
    static replica_bootstrap origin()
    {
        replica_bootstrap result;
        result.identity_ = voter_name("127.0.0.1:1/0");
        result.members_.voters_ = {result.identity_};
        return result;
    }

    replica<control::pool_state_machine> replica_;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: state_memory_bench FORM DIRECTORY\n");
        return 2;
    }
    bool is_restart = std::ifstream(std::string(argv[2]) + "/identity").good();
    bench run(argv[2]);
    int accepted = is_restart ? 0 : run.fill(argv[1]);
    run.report(is_restart ? "restart" : argv[1], accepted);
}
