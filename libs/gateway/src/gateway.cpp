#include "dandelioncrank/gateway/gateway.hpp"

#include "gateway_loop.hpp"

#include <QEventLoop>
#include <QThread>

#include <exception>
#include <future>

namespace dandelioncrank {

/// Thread that runs one gateway_loop.
class gateway::worker_thread : public QThread
{
  public:
    worker_thread(const gateway_options& options, int number,
                  const rcu_routing_table& table, const gateway_hooks& hooks)
        : options_(options), number_(number), table_(table), hooks_(hooks)
    {
    }

    ~worker_thread() override
    {
        quit();
        wait();
    }

    /// Starts the thread and returns its port once it listens.
    int start_listening()
    {
        std::future<int> port = port_.get_future();
        start();
        return port.get();
    }

    void stop_accepting()
    {
        loop_->inbox().post([this] { loop_->stop_accepting(); });
    }

    [[nodiscard]] std::size_t in_flight() const { return loop_->in_flight(); }
    [[nodiscard]] const buffer_budget& buffers() const
    {
        return loop_->buffers();
    }

  protected:
    void run() override
    {
        std::unique_ptr<gateway_loop> loop;
        try {
            loop = std::make_unique<gateway_loop>(options_, number_, table_,
                                                  hooks_);
        } catch (...) {
            port_.set_exception(std::current_exception());
            return;
        }
        loop_ = loop.get();
        port_.set_value(loop->port());
        exec();
    }

  private:
    gateway_options options_;
    int number_;
    const rcu_routing_table& table_;
    const gateway_hooks& hooks_;
    std::promise<int> port_;
    gateway_loop* loop_ = nullptr;
};

gateway::gateway(const gateway_options& options, const rcu_routing_table& table,
                 gateway_hooks hooks)
    : hooks_(std::move(hooks))
{
    gateway_options loop_options = options;
    for (int i = 0; i < options.loops_; ++i) {
        threads_.push_back(
            std::make_unique<worker_thread>(loop_options, i, table, hooks_));
        port_ = threads_.back()->start_listening();
        // With port 0, all loops listen on the port that the first one
        // obtained.
        loop_options.address_.port_ = port_;
    }
}

gateway::~gateway() = default;

void gateway::stop_accepting()
{
    for (auto& thread : threads_)
        thread->stop_accepting();
}

std::vector<const buffer_budget*> gateway::buffers() const
{
    std::vector<const buffer_budget*> result;
    for (const auto& thread : threads_)
        result.push_back(&thread->buffers());
    return result;
}

std::size_t gateway::in_flight() const
{
    std::size_t count = 0;
    for (const auto& thread : threads_)
        count += thread->in_flight();
    return count;
}

} // namespace dandelioncrank
