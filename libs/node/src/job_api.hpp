#pragma once

#include "dandelioncrank/http/http_message.hpp"
#include "state_client.hpp"
#include "zone_service.hpp"

#include <QJsonObject>

#include <functional>

namespace dandelioncrank {

/// HTTP API for jobs, teams and workers. The host that owns the zone serves
/// the requests; other hosts forward them to it.
class job_api
{
  public:
    using reply = std::function<void(http_response)>;

    job_api(const node_settings& settings, peer_directory& peers,
            state_client& state, zone_service& zone);

    /// Returns false if the path does not belong to this API.
    bool route(const std::string& method, const std::string& path,
               const std::string& body, bool may_forward,
               const reply& on_reply);

  private:
    void forward(const std::string& method, const std::string& path,
                 const std::string& body, const reply& on_reply);
    void serve(const std::string& method, const std::string& path,
               const std::string& body, const reply& on_reply);
    void submit(const std::string& body, const reply& on_reply);
    void show(const job_id& id, const reply& on_reply);
    void show_finished(const job_id& id, const reply& on_reply);
    void cancel(const job_id& id, const reply& on_reply);
    void list_jobs(const reply& on_reply);
    void list_teams(const reply& on_reply);
    void list_workers(const reply& on_reply);
    void report(const std::string& body, const reply& on_reply);

    const node_settings& settings_;
    peer_directory& peers_;
    state_client& state_;
    zone_service& zone_;
};

} // namespace dandelioncrank
