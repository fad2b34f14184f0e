#pragma once

#include "dandelioncrank/core/mailbox.hpp"
#include "dandelioncrank/gateway/caller_request.hpp"
#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/gateway/gateway_options.hpp"
#include "dandelioncrank/http/http_server.hpp"
#include "endpoint_pool.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace dandelioncrank {

/// One thread's share of the callers: its own listener, connections and
/// requests in flight. Lives in that thread.
class gateway_loop
{
  public:
    gateway_loop(const gateway_options& options, int number,
                 const routing_table_cell& table, const gateway_hooks& hooks);
    ~gateway_loop();

    [[nodiscard]] int port() const { return server_.port(); }
    [[nodiscard]] mailbox& inbox() { return inbox_; }
    /// May be read from any thread.
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }

    void stop_accepting();

  private:
    struct flow
    {
        std::uint64_t number_ = 0;
        caller_request request_;
        std::shared_ptr<responder> reply_;
        instant accepted_at_;
        instant deadline_;
        instant ordered_at_;
        duration queued_{};
        int attempt_ = 0;
        std::vector<endpoint_name> avoid_;
        ticket_id ticket_;
        bool ticket_open_ = false;
        bool claimed_ = false;
        /// Bytes of an earlier try left, and no whole answer came back.
        bool may_have_run_ = false;
        bool timed_out_ = false;
        std::string last_reason_;
        instant sent_at_;
        std::unique_ptr<client_connection> connection_;
        std::size_t most_idle_ = 1;
        endpoint_name endpoint_;
    };

    void accept(http_request request, const std::shared_ptr<responder>& reply);
    void answer_fate(const request_id& id,
                     const std::shared_ptr<responder>& reply);
    void begin(caller_request request, const std::shared_ptr<responder>& reply);
    void take_claim_result(std::uint64_t number, const acquire_claim& claim,
                           const std::optional<claim_result>& result);
    void replay(flow& item, const claim_result& result);
    void order_slot(flow& item);
    void take_decision(std::uint64_t number, const ticket_id& id,
                       const slot_decision& decision);
    void send(flow& item, const slot_granted& grant);
    void take_outcome(std::uint64_t number, client_outcome outcome);
    void take_answer(flow& item, http_response response);
    void take_failure(flow& item, const std::string& reason, bool sent);
    void return_slot(flow& item, slot_outcome outcome);
    void abandon(std::uint64_t number);
    [[nodiscard]] bool may_try_again(const flow& item) const;

    void complete(flow& item, http_response response);
    void refuse(flow& item, refusal_reason reason, const std::string& detail,
                duration retry_after);
    void give_unknown(flow& item, const std::string& reason);
    void finish(flow& item, fate value, const std::string& reason,
                http_response response);

    flow* find(std::uint64_t number);
    [[nodiscard]] gateway_hooks::post poster();

    gateway_options options_;
    int number_;
    const routing_table_cell& table_;
    const gateway_hooks& hooks_;
    rcu_reader reader_;
    mailbox inbox_;
    endpoint_pool pool_;
    http_server server_;
    std::map<std::uint64_t, std::unique_ptr<flow>> flows_;
    std::uint64_t next_number_ = 0;
    std::uint64_t next_ticket_ = 0;
    std::atomic<std::size_t> in_flight_{0};
    /// Answers that come after this loop has ended find nobody.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dandelioncrank
