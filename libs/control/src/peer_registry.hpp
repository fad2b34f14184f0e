#pragma once

#include "control_messages.hpp"
#include "dandelioncrank/peer/peer_codec.hpp"
#include "dandelioncrank/peer/peer_link.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace dandelioncrank::control {

/// Links to other daemons by internal address, opened on first use, and the
/// known control hosts.
class peer_registry
{
  public:
    explicit peer_registry(std::string self);
    ~peer_registry();

    void add_control_host(const std::string& address);
    [[nodiscard]] const std::set<std::string>& control_hosts() const
    {
        return control_hosts_;
    }
    [[nodiscard]] const std::string& self() const { return self_; }

    void post(const std::string& address, control_payload payload);

    /// Sends a message and decodes the response; empty if none arrived or it
    /// was malformed.
    template <class Response>
    void request(const std::string& address, control_payload payload,
                 duration timeout,
                 std::function<void(std::optional<Response>)> on_response)
    {
        send(address, std::move(payload), timeout,
             [on_response](const std::optional<QByteArray>& bytes) {
                 on_response(decode_response<Response>(bytes));
             });
    }

  private:
    void send(const std::string& address, control_payload payload,
              duration timeout, peer_link::response_handler on_response);
    peer_link& link_to(const std::string& address);

    std::string self_;
    std::set<std::string> control_hosts_;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
};

} // namespace dandelioncrank::control
