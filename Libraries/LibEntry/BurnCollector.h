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

/// Gathers the burn figures of all members for one report, and gives up on those that do not answer in time. Runs on
/// the control thread.
class BurnCollector {
public:
    using Done = std::function<void(const BurnReport&)>;

    /// How long a report waits for the figures of other members.
    static constexpr Milliseconds answerTimeout { 1000 };

    /// Starts a report and returns its number. `peers` are the members that are asked.
    uint64_t begin(BurnSlice own, std::set<MemberId> peers, Instant now, Done);

    /// Takes a peer's answer; malformed and unexpected ones are ignored.
    void answered(uint64_t request, const MemberId&, std::string_view slice);

    /// Finishes the reports whose time is over.
    void tick(Instant now);

private:
    struct Report {
        std::vector<BurnSlice> slices;
        std::set<MemberId> awaited;
        Instant deadline;
        Done done;
    };

    void finish(uint64_t request);

    std::map<uint64_t, Report> m_reports;
    uint64_t m_lastRequest { 0 };
};

}
