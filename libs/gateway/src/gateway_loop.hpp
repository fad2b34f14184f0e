#pragma once

#include "connection_pool.hpp"
#include "dandelioncrank/core/mailbox.hpp"
#include "dandelioncrank/gateway/caller_request.hpp"
#include "dandelioncrank/gateway/gateway_hooks.hpp"
#include "dandelioncrank/gateway/gateway_options.hpp"
#include "dandelioncrank/http/http_server.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace dandelioncrank {

/// Listener, connections and requests in flight of one gateway thread. Must be
/// created and used in that thread, except for the functions that may be called
/// from any thread.
class gateway_loop
{
  public:
    gateway_loop(const gateway_options& options, int number,
                 const rcu_routing_table& table, const gateway_hooks& hooks);
    ~gateway_loop();

    [[nodiscard]] int port() const { return server_.port(); }
    /// May be called from any thread, to post work to this one.
    [[nodiscard]] mailbox& inbox() { return inbox_; }
    /// May be called from any thread.
    [[nodiscard]] std::size_t in_flight() const { return in_flight_; }
    /// Its counters may be read from any thread.
    [[nodiscard]] const buffer_budget& buffers() const { return buffers_; }

    void stop_accepting();

  private:
    struct active_request
    {
        std::uint64_t number_ = 0;
        caller_request request_;
        std::shared_ptr<responder> reply_;
        instant accepted_at_;
        instant deadline_;
        instant requested_at_;
        duration queued_{};
        int attempt_ = 0;
        std::vector<endpoint_name> excluded_endpoints_;
        slot_request_id slot_request_id_;
        bool slot_request_open_ = false;
        bool claimed_ = false;
        /// An earlier attempt was sent and may have run.
        bool may_have_run_ = false;
        bool timed_out_ = false;
        std::string last_reason_;
        instant sent_at_;
        std::unique_ptr<client_connection> connection_;
        std::size_t max_idle_ = 1;
        endpoint_name endpoint_;
    };

    void handle_request(http_request request,
                        const std::shared_ptr<responder>& reply);
    void answer_outcome_query(const request_id& id,
                              const std::shared_ptr<responder>& reply);
    void start_request(caller_request request,
                       const std::shared_ptr<responder>& reply);
    void handle_claim_result(std::uint64_t number, const acquire_claim& claim,
                             const std::optional<claim_result>& result);
    void replay(active_request& item, const claim_result& result);
    void request_slot(active_request& item);
    void handle_slot_decision(std::uint64_t number, const slot_request_id& id,
                              const slot_decision& decision);
    void send(active_request& item, const slot_granted& grant);
    void handle_client_outcome(std::uint64_t number, client_outcome outcome);
    void handle_response(active_request& item, http_response response);
    void handle_failure(active_request& item, const std::string& reason,
                        bool sent);
    void return_slot(active_request& item, slot_outcome outcome);
    void handle_disconnect(std::uint64_t number);
    [[nodiscard]] bool may_retry(const active_request& item) const;

    void complete(active_request& item, http_response response);
    void refuse(active_request& item, refusal_reason reason,
                const std::string& detail, duration retry_after);
    void finish_unknown(active_request& item, const std::string& reason);
    void finish(active_request& item, request_outcome value,
                const std::string& reason, http_response response);

    active_request* find(std::uint64_t number);
    [[nodiscard]] gateway_hooks::post make_post();

    gateway_options options_;
    int number_;
    const rcu_routing_table& table_;
    const gateway_hooks& hooks_;
    rcu_reader reader_;
    mailbox inbox_;
    connection_pool pool_;
    buffer_budget buffers_;
    http_server server_;
    std::map<std::uint64_t, std::unique_ptr<active_request>> active_requests_;
    std::uint64_t next_number_ = 0;
    std::uint64_t last_slot_request_number_ = 0;
    std::atomic<std::size_t> in_flight_{0};
    /// Lets results that arrive after the destruction of this loop be dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dandelioncrank
