#pragma once

#include <LibCore/Time.h>
#include <nlohmann/json_fwd.hpp>

namespace Bergamot {

class EntryNode;

/// Status of this entry host, its peers, workers and jobs as known to this host: the body of `GET /admin/status`.
nlohmann::json statusJson(EntryNode&, Instant now, Instant startedAt);

/// Zones and workers in the cluster state that this host has computed from the log: the body of `GET /admin/state`.
nlohmann::json stateJson(EntryNode&, Instant now);

}
