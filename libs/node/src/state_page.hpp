#pragma once

#include "config_keeper.hpp"
#include "consensus_host.hpp"
#include "dandelioncrank/dissemination/disseminator.hpp"
#include "slot_service.hpp"
#include "zone_service.hpp"

#include <QJsonObject>

namespace dandelioncrank {

/// Parts of the daemon that the state dump looks into.
struct dump_sources
{
    const node_settings& settings_;
    const disseminator& gossip_;
    const config_keeper& config_;
    const slot_service& slots_;
    zone_service& zone_;
    const consensus_host* voter_;
    const peer_directory& peers_;
};

/// Everything that one daemon knows, as JSON. Holds no secrets.
[[nodiscard]] QJsonObject make_state_dump(const dump_sources& sources);

} // namespace dandelioncrank
