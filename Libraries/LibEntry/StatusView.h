#pragma once

#include <LibCore/Time.h>
#include <nlohmann/json_fwd.hpp>

namespace Bergamot {

class EntryNode;

/// What this entry host knows of itself, its peers, workers and jobs: the body of `GET /admin/status`.
nlohmann::json statusJson(EntryNode&, Instant now, Instant started);

/// The folded state of zones and workers: the body of `GET /admin/state`.
nlohmann::json stateJson(EntryNode&, Instant now);

}
