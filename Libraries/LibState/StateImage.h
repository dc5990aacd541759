#pragma once

#include <LibState/JobState.h>
#include <LibState/LeaderState.h>
#include <LibState/MemberState.h>
#include <LibState/RequestClaim.h>
#include <LibState/TermsState.h>
#include <LibState/WorkerInfo.h>
#include <LibWire/ConfigPublished.h>
#include <map>
#include <set>
#include <utility>

namespace Bergamot {

/// The complete data of a ClusterState, as stored in snapshots. Ordered containers make the encoding identical on all
/// hosts.
struct StateImage {
    LogPosition position { 0 };
    int64_t logTimeMs { 0 };
    LeaderState leader {};
    std::map<MemberId, MemberState> members {};

    /// Position of the last change of the set of voters, and the log time of the last membership reset.
    LogPosition votersChangedAt { 0 };
    int64_t membershipResetAtMs { 0 };
    std::map<WorkerId, WorkerInfo> workers {};
    std::map<JobId, JobState> jobs {};
    std::set<ZoneId> zonesOut {};
    std::map<std::string, RequestClaim> claims {};
    std::map<ClientId, TermsState> terms {};
    LogPosition termsChangedAt { 0 };
    ConfigPublished config {};

    /// Sequence of the last applied batch of each (member, incarnation), to detect retried appends.
    std::map<std::pair<MemberId, uint64_t>, uint64_t> sequences {};

    bool operator==(const StateImage&) const = default;
    MSGPACK_DEFINE_ARRAY(position, logTimeMs, leader, members, workers, jobs, zonesOut, claims, terms, config,
        sequences, votersChangedAt, membershipResetAtMs, termsChangedAt)
};

}
