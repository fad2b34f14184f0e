#pragma once

#include "active_config.hpp"
#include "dandelioncrank/dissemination/disseminator.hpp"
#include "slot_service.hpp"
#include "state_replica.hpp"
#include "zone_service.hpp"

#include <QJsonObject>

namespace dandelioncrank {

/// Components of the daemon that the state dump covers.
struct dump_sources
{
    const node_settings& settings_;
    const disseminator& gossip_;
    const active_config& config_;
    const slot_service& slots_;
    zone_service& zone_;
    const state_replica* voter_;
    const peer_directory& peers_;
};

/// State of the daemon as JSON. Contains no secrets.
[[nodiscard]] QJsonObject make_state_dump(const dump_sources& sources);

} // namespace dandelioncrank
