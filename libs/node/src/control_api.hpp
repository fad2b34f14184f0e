#pragma once

#include "active_config.hpp"
#include "dandelioncrank/dissemination/disseminator.hpp"
#include "dandelioncrank/http/http_message.hpp"
#include "job_api.hpp"
#include "slot_service.hpp"
#include "state_client.hpp"
#include "state_replica.hpp"
#include "zone_service.hpp"

#include <functional>

namespace dandelioncrank {

/// HTTP API for endpoints, workers and operators.
class control_api
{
  public:
    using reply = std::function<void(http_response)>;
    using announce =
        std::function<void(const endpoint_info&, std::uint64_t sequence)>;

    control_api(const node_settings& settings, peer_directory& peers,
                disseminator& gossip, active_config& config,
                state_client& state, zone_service& zone, state_replica* voter,
                announce on_announce);

    /// Authorizes and serves a request.
    void handle(const http_request& request, const reply& on_reply);
    /// Serves a request that another daemon has authorized and forwarded.
    void handle_forwarded(const api_request& request, const reply& on_reply);

  private:
    [[nodiscard]] bool is_allowed(const http_request& request,
                                  const std::string& path) const;
    void route(const std::string& method, const std::string& path,
               const std::string& body, const reply& on_reply);
    bool route_config(const std::string& method, const std::string& path,
                      const std::string& body, const reply& on_reply);
    void check_config(const QJsonObject& body, const reply& on_reply);
    void submit_config_text(const QJsonObject& body, const reply& on_reply);
    void propose_text(const submit_config& change, instant deadline,
                      const reply& on_reply);
    void show_config(const reply& on_reply) const;
    void show_history(const reply& on_reply);
    void show_own_history(const reply& on_reply) const;
    void show_rollout(const reply& on_reply) const;
    void announce_endpoint(const QJsonObject& body, const reply& on_reply);
    void list_endpoints(const reply& on_reply) const;
    void replace_voter(const QJsonObject& body, const reply& on_reply);

    const node_settings& settings_;
    peer_directory& peers_;
    disseminator& gossip_;
    active_config& config_;
    state_client& state_;
    state_replica* voter_;
    announce on_announce_;
    job_api jobs_;
};

} // namespace dandelioncrank
