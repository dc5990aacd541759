#include <LibState/JobPhase.h>

namespace Bergamot {

std::string_view toString(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Pending:
        return "pending";
    case JobPhase::Placed:
        return "placed";
    case JobPhase::Revoking:
        return "revoking";
    case JobPhase::Completed:
        return "completed";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

}
