#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Time.h>
#include <LibReport/BurnReport.h>
#include <LibReport/BurnSlice.h>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace Bergamot {

/// Collects the burn rate data of all members into reports. A report lists members that do not reply within the timeout
/// as missing. Runs on the control thread.
class BurnCollector {
public:
    using Done = std::function<void(const BurnReport&)>;

    /// Maximum time for which a report waits for the replies of other members.
    static constexpr Milliseconds replyTimeout { 1000 };

    /// Starts a report and returns its request id. `peers` are the members whose replies the report waits for.
    uint64_t startReport(BurnSlice own, std::set<MemberId> peers, Instant now, Done);

    /// Adds the reply of a peer to its report. Malformed and unexpected replies are ignored.
    void receiveReply(uint64_t requestId, const MemberId&, std::string_view slice);

    /// Finishes the reports whose reply timeout has expired.
    void tick(Instant now);

private:
    struct Report {
        std::vector<BurnSlice> slices;
        std::set<MemberId> pendingMembers;
        Instant deadline;
        Done done;
    };

    void finish(uint64_t requestId);

    std::map<uint64_t, Report> m_reports;
    uint64_t m_lastRequestId { 0 };
};

}
