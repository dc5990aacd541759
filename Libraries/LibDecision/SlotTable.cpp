#include <LibCore/Digest.h>
#include <LibCore/Verify.h>
#include <LibDecision/SlotTable.h>
#include <algorithm>
#include <set>

namespace Bergamot {

namespace {

    constexpr int64_t maxSlotsPerWorker = 4096;
    constexpr int64_t maxMillis = 1000;
    /// Loans are small, so that they can be returned one by one as the demand decreases.
    constexpr size_t slotsPerLoan = 4;
    /// Maximum number of random draws for two usable workers; if none is found, all workers are searched.
    constexpr uint64_t maxDraws = 8;
    constexpr Milliseconds minRequestBackoff { 100 };
    constexpr Milliseconds maxRequestBackoff { 800 };
    /// A loan request without a reply counts as lost after this time.
    constexpr Milliseconds replyTimeout { 200 };
    /// Maximum number of slots requested from a peer that has reported fewer free slots than this, or none yet.
    constexpr int64_t probeSlots = 4;
    constexpr Instant never = Instant::max();

    int64_t roundedUpShare(int64_t n, int64_t millis) { return (n * millis + maxMillis - 1) / maxMillis; }

    bool isShareMillis(int64_t n) { return n >= 0 && n <= maxMillis; }

}

absl::StatusOr<SlotTable> SlotTable::create(Options options)
{
    if (options.self.empty())
        return absl::InvalidArgumentError("slot table: the member id is empty");
    for (auto length : { options.evidenceMaxAge, options.loanLease, options.maxHoldTime, options.confirmTimeout }) {
        if (length <= Milliseconds(0) || length > std::chrono::hours(1))
            return absl::InvalidArgumentError("slot table: a duration is not between 1 ms and 1 h");
    }
    if (options.driftMargin < Milliseconds(0) || options.loanMargin < Milliseconds(0))
        return absl::InvalidArgumentError("slot table: a margin is negative");
    if (options.demandWindow < Milliseconds(demandBuckets))
        return absl::InvalidArgumentError("slot table: the demand window is too short");
    if (!isShareMillis(options.reserveShareMillis) || !isShareMillis(options.spillThresholdMillis)
        || !isShareMillis(options.zonePenaltyMillis))
        return absl::InvalidArgumentError("slot table: a share is not between 0 and 1000 thousandths");
    if (options.maxSlotsPerRequest <= 0 || options.maxSlotsPerRequest > maxSlotsPerWorker)
        return absl::InvalidArgumentError("slot table: the maximum number of slots per request is out of range");
    return SlotTable(std::move(options));
}

SlotTable::SlotTable(Options options)
    : m_options(std::move(options))
    , m_settleTime(
          m_options.evidenceMaxAge + std::max(m_options.loanLease, m_options.maxHoldTime) + m_options.driftMargin)
    , m_nextExpiry(never)
    // Ids of different incarnations must differ: otherwise a delayed return of a loan of the previous incarnation could
    // end a loan of this one.
    , m_nextId(mixDigest(digestOf(m_options.self), m_options.incarnation) >> 8U)
{
}

MemberId SlotTable::ownerOf(const std::vector<Member>& members, const WorkerId& worker, int64_t slot)
{
    const auto slotDigest = mixDigest(digestOf(worker), static_cast<uint64_t>(slot));
    MemberId owner;
    uint64_t best = 0;
    for (const auto& member : members) {
        const auto score = mixDigest(slotDigest, digestOf(member.id));
        if (owner.empty() || score > best || (score == best && member.id < owner)) {
            owner = member.id;
            best = score;
        }
    }
    return owner;
}

absl::Status SlotTable::advance(Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("slot table: the time is earlier than that of a previous call");
    m_now = now;
    if (!m_changes.empty()) {
        confirmChanges(now);
        settleChanges(now);
    }
    if (now >= m_nextExpiry)
        expireLoans(now);
    advanceDemandWindow(now);
    return absl::OkStatus();
}

absl::Status SlotTable::checkView(const View& view, Instant now) const
{
    if (now < m_now)
        return absl::InvalidArgumentError("slot table: the time is earlier than that of a previous call");
    if (m_position && view.position == *m_position)
        return absl::AlreadyExistsError("slot table: the view was applied before");
    if (m_position && view.position < *m_position)
        return absl::InvalidArgumentError("slot table: the view is older than the last applied view");
    std::set<std::string> ids;
    for (const auto& member : view.members) {
        if (member.id.empty() || !ids.insert(member.id).second)
            return absl::InvalidArgumentError("slot table: a member id is empty or listed twice");
    }
    ids.clear();
    for (const auto& worker : view.workers) {
        if (worker.id.empty() || !ids.insert(worker.id).second)
            return absl::InvalidArgumentError("slot table: a worker id is empty or listed twice");
        if (worker.slots < 0 || worker.slots > maxSlotsPerWorker)
            return absl::InvalidArgumentError("slot table: the number of slots of a worker is out of range");
    }
    return absl::OkStatus();
}

absl::Status SlotTable::applyView(const View& view, Instant now)
{
    if (auto status = checkView(view, now); !status.ok())
        return status;
    if (auto status = advance(now); !status.ok())
        return status;

    Change change { .position = view.position, .members = {}, .appliedAt = now, .confirmedAt = {}, .gainedSlots = {} };
    for (const auto& member : view.members)
        change.members.push_back(member.id);
    const bool membersChanged = m_members != view.members;
    m_members = view.members;
    m_position = view.position;
    m_positions[m_options.self] = view.position;

    unlistRemovedWorkers(view.workers);
    recomputeOwnership(view, change);
    // Membership changes without gained slots are kept too. Changes are confirmed in order, because only majorities of
    // consecutive memberships are guaranteed to intersect.
    if (membersChanged || !change.gainedSlots.empty())
        m_changes.push_back(std::move(change));
    std::erase_if(m_peers, [this](const auto& entry) { return !isMember(entry.first); });
    confirmChanges(now);
    recomputeUsage();
    return absl::OkStatus();
}

void SlotTable::unlistRemovedWorkers(const std::vector<Worker>& workers)
{
    std::set<std::string> listed;
    for (const auto& worker : workers)
        listed.insert(worker.id);
    for (auto& state : m_workers) {
        if (!state.isListed || listed.contains(state.id))
            continue;
        state.isListed = false;
        state.slots.clear();
        state.settled = 0;
    }
}

size_t SlotTable::indexOf(const WorkerId& worker)
{
    if (auto it = m_workerIndex.find(worker); it != m_workerIndex.end())
        return it->second;
    // Entries of removed workers are reused, so that m_workers does not grow with every replaced host.
    auto isFree = [](const WorkerState& state) {
        return !state.isListed && state.borrowedSlots.empty() && state.ownInUse + state.borrowedInUse + state.lent == 0;
    };
    auto it = std::find_if(m_workers.begin(), m_workers.end(), isFree);
    if (it == m_workers.end())
        it = m_workers.insert(m_workers.end(), WorkerState {});
    else
        m_workerIndex.erase(it->id);
    *it = WorkerState { .id = worker };
    const auto index = static_cast<size_t>(it - m_workers.begin());
    m_workerIndex[worker] = index;
    return index;
}

void SlotTable::recomputeOwnership(const View& view, Change& change)
{
    const bool ownsAny = isOwnIncarnationListed();
    m_localWorkers.clear();
    m_remoteWorkers.clear();
    std::vector<std::pair<uint64_t, bool>> members;
    auto sorted = view.members;
    std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    members.reserve(sorted.size());
    for (const auto& member : sorted)
        members.emplace_back(digestOf(member.id), member.id == m_options.self);

    for (const auto& worker : view.workers) {
        const auto index = indexOf(worker.id);
        auto& state = m_workers[index];
        state.isListed = true;
        state.zone = worker.zone;
        state.slots.resize(static_cast<size_t>(worker.slots));
        state.settled = 0;
        (worker.zone == m_options.zone ? m_localWorkers : m_remoteWorkers).push_back(index);
        const auto workerDigest = digestOf(worker.id);
        for (size_t n = 0; n < state.slots.size(); ++n) {
            auto& slot = state.slots[n];
            bool owned = false;
            if (ownsAny) {
                const auto slotDigest = mixDigest(workerDigest, n);
                uint64_t best = 0;
                bool isFirst = true;
                // The members are sorted by id, so the lowest id wins a tie.
                for (const auto& [digest, isSelf] : members) {
                    const auto score = mixDigest(slotDigest, digest);
                    if (!isFirst && score <= best)
                        continue;
                    best = score;
                    owned = isSelf;
                    isFirst = false;
                }
            }
            if (owned && (!slot.isOwned || !view.isContiguous)) {
                slot = { .isOwned = true, .isSettled = false, .gainedAtPosition = view.position };
                change.gainedSlots.emplace_back(index, n);
            } else if (!owned) {
                slot = {};
            }
            state.settled += slot.isSettled ? 1 : 0;
        }
    }
}

absl::Status SlotTable::recordPosition(const MemberId& member, LogPosition position, Instant now)
{
    if (now < m_now)
        return absl::InvalidArgumentError("slot table: the time is earlier than that of a previous call");
    if (!isMember(member))
        return absl::NotFoundError("slot table: the member of the position is unknown");
    auto [it, isNew] = m_positions.try_emplace(member, position);
    if (!isNew && position < it->second)
        return absl::InvalidArgumentError("slot table: the position is lower than the last one of the member");
    it->second = position;
    return advance(now);
}

void SlotTable::confirmChanges(Instant now)
{
    for (auto& change : m_changes) {
        if (change.confirmedAt)
            continue;
        const auto reached = std::count_if(change.members.begin(), change.members.end(), [&](const auto& member) {
            auto it = m_positions.find(member);
            return it != m_positions.end() && it->second >= change.position;
        });
        const bool hasMajority = static_cast<size_t>(reached) * 2 > change.members.size();
        if (!hasMajority && now < change.appliedAt + m_options.confirmTimeout)
            return;
        change.confirmedAt = now;
    }
}

void SlotTable::settleChanges(Instant now)
{
    bool settledAny = false;
    while (
        !m_changes.empty() && m_changes.front().confirmedAt && now >= *m_changes.front().confirmedAt + m_settleTime) {
        const auto& change = m_changes.front();
        for (const auto& [worker, n] : change.gainedSlots) {
            auto& state = m_workers[worker];
            // A slot that was lost and gained again settles with the later change.
            if (n >= state.slots.size() || !state.slots[n].isOwned
                || state.slots[n].gainedAtPosition != change.position)
                continue;
            state.slots[n].isSettled = true;
            ++state.settled;
            settledAny = true;
        }
        m_changes.pop_front();
    }
    if (settledAny)
        recomputeUsage();
}

void SlotTable::expireLoans(Instant now)
{
    for (auto it = m_lent.begin(); it != m_lent.end();) {
        if (now < it->second.reusableAt) {
            ++it;
            continue;
        }
        for (auto worker : it->second.workers)
            --m_workers[worker].lent;
        it = m_lent.erase(it);
    }
    for (auto it = m_borrowed.begin(); it != m_borrowed.end();) {
        auto current = it++;
        if (now >= current->second.until)
            removeLoan(current);
    }
    std::erase_if(m_pending, [&](const auto& entry) { return now >= entry.second.sentAt + 2 * m_options.loanLease; });
    std::erase_if(m_answeredRequests, [&](const auto& entry) { return now >= entry.second; });
    m_nextExpiry = never;
    for (const auto& [loan, lent] : m_lent)
        m_nextExpiry = std::min(m_nextExpiry, lent.reusableAt);
    for (const auto& [key, borrowed] : m_borrowed)
        m_nextExpiry = std::min(m_nextExpiry, borrowed.until);
    for (const auto& [request, pending] : m_pending)
        m_nextExpiry = std::min(m_nextExpiry, pending.sentAt + 2 * m_options.loanLease);
    for (const auto& [key, until] : m_answeredRequests)
        m_nextExpiry = std::min(m_nextExpiry, until);
    recomputeUsage();
}

void SlotTable::removeLoan(std::map<LoanKey, BorrowedLoan>::iterator it)
{
    const auto serial = it->second.serial;
    for (auto worker : it->second.workers)
        std::erase_if(m_workers[worker].borrowedSlots, [&](const auto& slot) { return slot.serial == serial; });
    m_loanOfSerial.erase(serial);
    m_borrowed.erase(it);
}

bool SlotTable::isMember(const MemberId& id) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto& member) { return member.id == id; });
}

bool SlotTable::isOwnIncarnationListed() const
{
    return std::any_of(m_members.begin(), m_members.end(),
        [&](const auto& member) { return member.id == m_options.self && member.incarnation == m_options.incarnation; });
}

void SlotTable::recomputeUsage()
{
    auto sum = [this](const std::vector<size_t>& workers) {
        Usage usage;
        for (auto index : workers) {
            const auto& state = m_workers[index];
            if (state.weightMillis == 0)
                continue;
            usage.usable += std::max<int64_t>(0, state.settled - state.lent);
            usage.usable += static_cast<int64_t>(state.borrowedSlots.size());
            usage.inUse += state.ownInUse + state.borrowedInUse;
        }
        return usage;
    };
    m_localUsage = sum(m_localWorkers);
    m_remoteUsage = sum(m_remoteWorkers);
}

int64_t SlotTable::utilisationMillis(bool local) const
{
    const auto& usage = local ? m_localUsage : m_remoteUsage;
    return usage.usable <= 0 ? maxMillis : usage.inUse * maxMillis / usage.usable;
}

absl::Status SlotTable::setWeight(const WorkerId& worker, int64_t weightMillis)
{
    auto it = m_workerIndex.find(worker);
    if (it == m_workerIndex.end() || !m_workers[it->second].isListed)
        return absl::NotFoundError("slot table: unknown worker");
    if (!isShareMillis(weightMillis))
        return absl::InvalidArgumentError("slot table: the weight is not between 0 and 1000 thousandths");
    m_workers[it->second].weightMillis = weightMillis;
    recomputeUsage();
    return absl::OkStatus();
}

absl::Status SlotTable::recordReportedUtilisation(const WorkerId& worker, int64_t reportedMillis)
{
    auto it = m_workerIndex.find(worker);
    if (it == m_workerIndex.end() || !m_workers[it->second].isListed)
        return absl::NotFoundError("slot table: unknown worker");
    if (!isShareMillis(reportedMillis))
        return absl::InvalidArgumentError("slot table: the utilisation is not between 0 and 1000 thousandths");
    m_workers[it->second].reportedUtilisationMillis = reportedMillis;
    return absl::OkStatus();
}

int64_t SlotTable::freeOwnOn(const WorkerState& state) const
{
    return std::max<int64_t>(0, state.settled - state.ownInUse - state.lent);
}

int64_t SlotTable::freeBorrowedOn(const WorkerState& state, Instant until)
{
    return std::count_if(state.borrowedSlots.begin(), state.borrowedSlots.end(),
        [&](const auto& slot) { return !slot.isInUse && slot.until >= until; });
}

int64_t SlotTable::freeOn(const WorkerState& state, Instant until) const
{
    return state.isListed ? freeOwnOn(state) + freeBorrowedOn(state, until) : 0;
}

int64_t SlotTable::utilisationMillisOf(const WorkerState& state)
{
    const auto usable
        = std::max<int64_t>(1, state.settled - state.lent + static_cast<int64_t>(state.borrowedSlots.size()));
    return state.reportedUtilisationMillis + (state.ownInUse + state.borrowedInUse) * maxMillis / usable;
}

std::optional<size_t> SlotTable::chooseWorker(
    bool local, Instant until, uint64_t random, const std::vector<WorkerId>& excluded) const
{
    const auto& workers = local ? m_localWorkers : m_remoteWorkers;
    if (workers.empty())
        return {};
    auto isUsable = [&](const WorkerState& state) {
        return state.weightMillis > 0 && freeOn(state, until) > 0
            && std::find(excluded.begin(), excluded.end(), state.id) == excluded.end();
    };
    std::optional<size_t> best;
    int found = 0;
    for (uint64_t draw = 0; draw < maxDraws && found < 2; ++draw) {
        const auto hash = mixDigest(random, draw);
        const auto index = workers[hash % workers.size()];
        const auto& state = m_workers[index];
        const auto chance = static_cast<int64_t>((hash >> 32U) % static_cast<uint64_t>(maxMillis));
        if (!isUsable(state) || chance >= state.weightMillis || best == index)
            continue;
        ++found;
        if (!best || utilisationMillisOf(state) < utilisationMillisOf(m_workers[*best]))
            best = index;
    }
    if (best)
        return best;
    for (size_t n = 0; n < workers.size(); ++n) {
        const auto index = workers[(random + n) % workers.size()];
        if (isUsable(m_workers[index]))
            return index;
    }
    return {};
}

absl::StatusOr<SlotTable::Use> SlotTable::acquire(
    Milliseconds holdTime, uint64_t random, Instant now, const std::vector<WorkerId>& excluded)
{
    if (holdTime <= Milliseconds(0) || holdTime > m_options.maxHoldTime)
        return absl::InvalidArgumentError("slot table: the hold time is not between 1 ms and the maximum");
    if (auto status = advance(now); !status.ok())
        return status;
    if (now >= m_authorityExpiry)
        return absl::FailedPreconditionError("slot table: no authority to use slots");
    const auto until = now + holdTime;
    const auto localUse = utilisationMillis(true);
    const bool shouldSpill = localUse >= m_options.spillThresholdMillis
        && utilisationMillis(false) + m_options.zonePenaltyMillis < localUse;
    for (bool local : { !shouldSpill, shouldSpill }) {
        if (auto worker = chooseWorker(local, until, random, excluded))
            return takeSlot(*worker, until);
    }
    return absl::ResourceExhaustedError("slot table: no usable slot");
}

absl::StatusOr<SlotTable::Use> SlotTable::acquireOn(const WorkerId& worker, Milliseconds holdTime, Instant now)
{
    if (holdTime <= Milliseconds(0) || holdTime > m_options.maxHoldTime)
        return absl::InvalidArgumentError("slot table: the hold time is not between 1 ms and the maximum");
    if (auto status = advance(now); !status.ok())
        return status;
    auto it = m_workerIndex.find(worker);
    if (it == m_workerIndex.end() || !m_workers[it->second].isListed)
        return absl::NotFoundError("slot table: unknown worker");
    if (now >= m_authorityExpiry)
        return absl::FailedPreconditionError("slot table: no authority to use slots");
    if (freeOn(m_workers[it->second], now + holdTime) == 0)
        return absl::ResourceExhaustedError("slot table: no usable slot on this worker");
    return takeSlot(it->second, now + holdTime);
}

SlotTable::Use SlotTable::takeSlot(size_t worker, Instant until)
{
    auto& state = m_workers[worker];
    UseState use { .worker = worker };
    if (freeOwnOn(state) > 0) {
        ++state.ownInUse;
    } else {
        auto it = std::find_if(state.borrowedSlots.begin(), state.borrowedSlots.end(),
            [&](const auto& slot) { return !slot.isInUse && slot.until >= until; });
        VERIFY(it != state.borrowedSlots.end());
        it->isInUse = true;
        use.serial = it->serial;
        ++state.borrowedInUse;
        ++m_borrowed.at(m_loanOfSerial.at(use.serial)).inUse;
    }
    adjustInUse(state, 1);
    const auto id = ++m_nextId;
    m_uses[id] = use;
    recordDemand();
    return Use { .id = id, .worker = state.id, .isBorrowed = use.serial != 0, .until = until };
}

void SlotTable::adjustInUse(const WorkerState& state, int64_t change)
{
    if (state.isListed && state.weightMillis > 0)
        (state.zone == m_options.zone ? m_localUsage : m_remoteUsage).inUse += change;
}

absl::Status SlotTable::release(uint64_t use, Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    auto it = m_uses.find(use);
    if (it == m_uses.end())
        return absl::NotFoundError("slot table: the use is unknown or was released before");
    auto& state = m_workers[it->second.worker];
    if (it->second.serial == 0) {
        --state.ownInUse;
    } else {
        --state.borrowedInUse;
        const auto serial = it->second.serial;
        auto slot = std::find_if(state.borrowedSlots.begin(), state.borrowedSlots.end(),
            [&](const auto& borrowed) { return borrowed.serial == serial && borrowed.isInUse; });
        if (slot != state.borrowedSlots.end())
            slot->isInUse = false;
        if (auto loan = m_loanOfSerial.find(serial); loan != m_loanOfSerial.end())
            --m_borrowed.at(loan->second).inUse;
    }
    adjustInUse(state, -1);
    m_uses.erase(it);
    return absl::OkStatus();
}

void SlotTable::advanceDemandWindow(Instant now)
{
    const auto bucket = now.time_since_epoch() / (m_options.demandWindow / static_cast<int64_t>(demandBuckets));
    const auto passed = std::min<int64_t>(bucket - m_demandBucket, static_cast<int64_t>(demandBuckets));
    m_demandBucket = bucket;
    for (int64_t n = 0; n < passed; ++n)
        m_demand[static_cast<size_t>(bucket - n) % demandBuckets] = 0;
    recordDemand();
}

void SlotTable::recordDemand()
{
    auto& demand = m_demand[static_cast<size_t>(m_demandBucket) % demandBuckets];
    demand = std::max(demand, inUse() + m_waiting);
}

int64_t SlotTable::recentDemand() const { return *std::max_element(m_demand.begin(), m_demand.end()); }

int64_t SlotTable::currentDemand() const
{
    const auto last = static_cast<size_t>(m_demandBucket) % demandBuckets;
    return std::max(m_demand[last], m_demand[(last + demandBuckets - 1) % demandBuckets]);
}

int64_t SlotTable::headroom() const { return roundedUpShare(recentDemand(), m_options.reserveShareMillis); }

absl::Status SlotTable::recordWaiting(int64_t waiting, Instant now)
{
    if (waiting < 0)
        return absl::InvalidArgumentError("slot table: the number of waiting requests is negative");
    if (auto status = advance(now); !status.ok())
        return status;
    m_waiting = std::min<int64_t>(waiting, int64_t { 1 } << 20);
    recordDemand();
    return absl::OkStatus();
}

absl::Status SlotTable::recordPeerFreeSlots(const MemberId& peer, int64_t freeSlots, Instant now)
{
    if (freeSlots < 0)
        return absl::InvalidArgumentError("slot table: the number of free slots of a peer is negative");
    if (peer == m_options.self || !isMember(peer))
        return absl::NotFoundError("slot table: unknown peer");
    if (auto status = advance(now); !status.ok())
        return status;
    auto& state = m_peers[peer];
    state.freeSlots = freeSlots;
    if (freeSlots > 0) {
        state.nextRequestAt = std::min(state.nextRequestAt, now);
        state.backoff = Milliseconds(0);
    }
    return absl::OkStatus();
}

int64_t SlotTable::slotsToRequest() const
{
    int64_t available = 0;
    for (const auto& state : m_workers) {
        if (state.isListed && state.weightMillis > 0)
            available
                += std::max<int64_t>(0, state.settled - state.lent) + static_cast<int64_t>(state.borrowedSlots.size());
    }
    for (const auto& [request, pending] : m_pending) {
        if (m_now < pending.sentAt + replyTimeout)
            available += pending.pendingSlots;
    }
    return currentDemand() + roundedUpShare(currentDemand(), m_options.reserveShareMillis) - available;
}

absl::StatusOr<std::vector<LoanRequest>> SlotTable::makeLoanRequests(Instant now, uint64_t random)
{
    if (auto status = advance(now); !status.ok())
        return status;
    std::map<MemberId, LoanRequest> loanRequests;
    if (now < m_authorityExpiry) {
        addRenewals(loanRequests, now);
        addLoanRequests(loanRequests, now, random);
    }
    std::vector<LoanRequest> result;
    for (auto& [lender, loanRequest] : loanRequests) {
        loanRequest.lender = lender;
        loanRequest.borrower = m_options.self;
        loanRequest.requestId = ++m_nextId;
        m_pending[loanRequest.requestId]
            = { .loanRequest = loanRequest, .sentAt = now, .pendingSlots = loanRequest.slots, .received = {} };
        m_nextExpiry = std::min(m_nextExpiry, now + m_options.loanLease);
        result.push_back(loanRequest);
    }
    return result;
}

void SlotTable::addRenewals(std::map<MemberId, LoanRequest>& loanRequests, Instant now)
{
    // Loans in use are always renewed, idle loans only as far as the current demand requires them.
    auto surplus = -slotsToRequest();
    for (auto& [key, loan] : m_borrowed) {
        const auto size = static_cast<int64_t>(loan.workers.size());
        if (loan.inUse == 0 && surplus >= size) {
            surplus -= size;
            continue;
        }
        if (loan.until - now > m_options.loanLease * 6 / 10 || now < loan.nextRenewal || !isMember(key.first))
            continue;
        loan.nextRenewal = now + replyTimeout;
        loanRequests[key.first].renewals.push_back(key.second);
    }
}

void SlotTable::addLoanRequests(std::map<MemberId, LoanRequest>& loanRequests, Instant now, uint64_t random)
{
    auto slotsWanted = slotsToRequest();
    if (slotsWanted <= 0)
        return;
    std::vector<MemberId> peers;
    for (const auto& member : m_members) {
        if (member.id != m_options.self && now >= m_peers[member.id].nextRequestAt)
            peers.push_back(member.id);
    }
    std::sort(peers.begin(), peers.end(), [&](const auto& a, const auto& b) {
        const auto freeA = m_peers[a].freeSlots;
        const auto freeB = m_peers[b].freeSlots;
        return freeA != freeB ? freeA > freeB : mixDigest(random, digestOf(a)) < mixDigest(random, digestOf(b));
    });
    for (const auto& id : peers) {
        if (slotsWanted <= 0)
            return;
        auto& peer = m_peers[id];
        const auto slots
            = std::min({ slotsWanted, m_options.maxSlotsPerRequest, std::max(peer.freeSlots, probeSlots) });
        loanRequests[id].slots = static_cast<uint32_t>(slots);
        peer.nextRequestAt = now + replyTimeout;
        slotsWanted -= slots;
    }
}

int64_t SlotTable::lendable() const
{
    const auto reserve = std::max(roundedUpShare(settled(), m_options.reserveShareMillis), headroom());
    return std::clamp<int64_t>(settled() - lent() - recentDemand() - reserve, 0, freeOwn());
}

bool SlotTable::canRenewLoan(const LentLoan& lent) const
{
    // A lent slot may have been lost to another member since; its new owner relies on the loan to expire.
    return std::all_of(lent.workers.begin(), lent.workers.end(), [this](auto worker) {
        const auto& state = m_workers[worker];
        return state.isListed && state.settled >= state.lent + state.ownInUse;
    });
}

std::vector<size_t> SlotTable::chooseSlotsToLend(int64_t count, const ZoneId& zone)
{
    std::vector<size_t> chosen;
    if (m_workers.empty())
        return chosen;
    std::vector<int64_t> left;
    for (const auto& state : m_workers)
        left.push_back(state.isListed && state.weightMillis > 0 ? freeOwnOn(state) : 0);
    m_nextLendIndex = (m_nextLendIndex + 1) % m_workers.size();
    for (bool sameZone : { true, false }) {
        for (bool progress = true; progress;) {
            progress = false;
            for (size_t n = 0; n < m_workers.size(); ++n) {
                if (static_cast<int64_t>(chosen.size()) >= count)
                    return chosen;
                const auto index = (m_nextLendIndex + n) % m_workers.size();
                if (left[index] == 0 || (m_workers[index].zone == zone) != sameZone)
                    continue;
                --left[index];
                chosen.push_back(index);
                progress = true;
            }
        }
    }
    return chosen;
}

absl::StatusOr<std::vector<LoanGrant>> SlotTable::lend(const LoanRequest& loanRequest, Instant now)
{
    if (loanRequest.lender != m_options.self)
        return absl::InvalidArgumentError("slot table: the loan request is addressed to another member");
    if (auto status = advance(now); !status.ok())
        return status;
    auto borrower = std::find_if(
        m_members.begin(), m_members.end(), [&](const auto& member) { return member.id == loanRequest.borrower; });
    if (borrower == m_members.end() || loanRequest.borrower == m_options.self)
        return absl::NotFoundError("slot table: the borrower of the loan request is unknown");
    if (now >= m_authorityExpiry)
        return absl::FailedPreconditionError("slot table: no authority to lend slots");
    const auto retainedUntil = now + 2 * m_options.loanLease;
    if (!m_answeredRequests.try_emplace({ loanRequest.borrower, loanRequest.requestId }, retainedUntil).second)
        return absl::AlreadyExistsError("slot table: a reply to the loan request was sent before");

    std::vector<LoanGrant> grants;
    auto add = [&](uint64_t loan, const std::vector<size_t>& workers) {
        LoanGrant grant { .lender = m_options.self,
            .borrower = loanRequest.borrower,
            .requestId = loanRequest.requestId,
            .loanId = loan };
        for (auto worker : workers)
            grant.workers.push_back(m_workers[worker].id);
        grant.lease = m_options.loanLease;
        grants.push_back(std::move(grant));
    };
    const auto reusableAt = now + m_options.loanLease + m_options.loanMargin;
    m_nextExpiry = std::min({ m_nextExpiry, retainedUntil, reusableAt });
    // A member that needs its lent slots does not renew the loans.
    const bool needsOwnSlots = m_waiting > 0 || settled() - lent() < recentDemand();
    for (auto loan : loanRequest.renewals) {
        auto it = m_lent.find(loan);
        if (needsOwnSlots || it == m_lent.end() || it->second.borrower != loanRequest.borrower
            || !canRenewLoan(it->second))
            continue;
        it->second.reusableAt = reusableAt;
        add(loan, it->second.workers);
    }
    const auto chosen = chooseSlotsToLend(
        std::min<int64_t>({ loanRequest.slots, lendable(), m_options.maxSlotsPerRequest }), borrower->zone);
    for (size_t n = 0; n < chosen.size(); n += slotsPerLoan) {
        const auto end = std::min(n + slotsPerLoan, chosen.size());
        LentLoan lent { .borrower = loanRequest.borrower, .workers = {}, .reusableAt = reusableAt };
        for (auto k = n; k < end; ++k) {
            lent.workers.push_back(chosen[k]);
            ++m_workers[chosen[k]].lent;
        }
        const auto loan = ++m_nextId;
        add(loan, lent.workers);
        m_lent[loan] = std::move(lent);
    }
    if (loanRequest.slots > 0 && chosen.empty())
        add(0, {});
    recomputeUsage();
    return grants;
}

absl::Status SlotTable::applyGrant(const LoanGrant& grant, Instant now)
{
    if (grant.borrower != m_options.self)
        return absl::InvalidArgumentError("slot table: the loan is addressed to another member");
    if (grant.lease <= Milliseconds(0) || grant.lease > m_options.loanLease)
        return absl::InvalidArgumentError("slot table: the lease of the loan is out of range");
    if (grant.workers.size() > static_cast<size_t>(maxSlotsPerWorker))
        return absl::InvalidArgumentError("slot table: the loan has too many slots");
    if (auto status = advance(now); !status.ok())
        return status;
    auto it = m_pending.find(grant.requestId);
    if (it == m_pending.end() || it->second.loanRequest.lender != grant.lender)
        return absl::NotFoundError("slot table: the loan matches no pending request");
    auto& pending = it->second;
    const auto until = pending.sentAt + grant.lease;
    if (now >= until)
        return absl::DeadlineExceededError("slot table: the lease of the loan expired before the grant arrived");
    if (std::find(pending.received.begin(), pending.received.end(), grant.loanId) != pending.received.end())
        return absl::AlreadyExistsError("slot table: the loan was applied before");
    pending.received.push_back(grant.loanId);
    const auto& renewals = pending.loanRequest.renewals;
    if (std::find(renewals.begin(), renewals.end(), grant.loanId) != renewals.end()) {
        auto loan = m_borrowed.find({ grant.lender, grant.loanId });
        // The loan was returned or has expired since the renewal was requested, so the lender may be using its slots.
        if (loan == m_borrowed.end())
            return absl::NotFoundError("slot table: the renewed loan is no longer held");
        renewLoan(loan->second, until);
        return absl::OkStatus();
    }
    recordReply(pending, grant, now);
    if (!grant.workers.empty())
        addLoan(grant, until);
    recomputeUsage();
    return absl::OkStatus();
}

void SlotTable::renewLoan(BorrowedLoan& loan, Instant until)
{
    loan.until = std::max(loan.until, until);
    for (auto worker : loan.workers) {
        for (auto& slot : m_workers[worker].borrowedSlots) {
            if (slot.serial == loan.serial)
                slot.until = loan.until;
        }
    }
}

void SlotTable::recordReply(PendingRequest& pending, const LoanGrant& grant, Instant now)
{
    const auto lent = static_cast<int64_t>(grant.workers.size());
    pending.pendingSlots = lent == 0 ? 0 : std::max<int64_t>(0, pending.pendingSlots - lent);
    auto& peer = m_peers[grant.lender];
    peer.freeSlots = lent == 0 ? 0 : std::max<int64_t>(0, peer.freeSlots - lent);
    peer.backoff = lent == 0 ? std::clamp(peer.backoff * 2, minRequestBackoff, maxRequestBackoff) : Milliseconds(0);
    peer.nextRequestAt = now + peer.backoff;
}

void SlotTable::addLoan(const LoanGrant& grant, Instant until)
{
    BorrowedLoan loan { .serial = ++m_nextId, .workers = {}, .until = until };
    for (const auto& worker : grant.workers) {
        auto it = m_workerIndex.find(worker);
        // The lender may have applied a newer view with a worker that this member does not know.
        if (it == m_workerIndex.end() || !m_workers[it->second].isListed)
            continue;
        loan.workers.push_back(it->second);
        m_workers[it->second].borrowedSlots.push_back({ .serial = loan.serial, .until = until });
    }
    m_loanOfSerial[loan.serial] = { grant.lender, grant.loanId };
    m_borrowed[{ grant.lender, grant.loanId }] = std::move(loan);
    m_nextExpiry = std::min(m_nextExpiry, until);
}

absl::StatusOr<std::vector<LoanReturn>> SlotTable::returnIdleLoans(Instant now)
{
    if (auto status = advance(now); !status.ok())
        return status;
    std::vector<LoanReturn> result;
    auto surplus = -slotsToRequest();
    for (auto it = m_borrowed.begin(); it != m_borrowed.end();) {
        auto current = it++;
        const auto size = static_cast<int64_t>(current->second.workers.size());
        if (current->second.inUse > 0 || surplus < size)
            continue;
        surplus -= size;
        result.push_back(
            { .lender = current->first.first, .borrower = m_options.self, .loanId = current->first.second });
        removeLoan(current);
    }
    recomputeUsage();
    return result;
}

absl::Status SlotTable::acceptReturn(const LoanReturn& loan, Instant now)
{
    if (loan.lender != m_options.self)
        return absl::InvalidArgumentError("slot table: the returned loan is addressed to another member");
    if (auto status = advance(now); !status.ok())
        return status;
    auto it = m_lent.find(loan.loanId);
    if (it == m_lent.end() || it->second.borrower != loan.borrower)
        return absl::NotFoundError("slot table: the returned loan is unknown");
    for (auto worker : it->second.workers)
        --m_workers[worker].lent;
    m_lent.erase(it);
    recomputeUsage();
    return absl::OkStatus();
}

int64_t SlotTable::freeOwn() const
{
    int64_t sum = 0;
    for (const auto& state : m_workers)
        sum += state.isListed && state.weightMillis > 0 ? freeOwnOn(state) : 0;
    return sum;
}

int64_t SlotTable::freeFor(Milliseconds holdTime, Instant now) const
{
    int64_t sum = 0;
    for (const auto& state : m_workers)
        sum += state.weightMillis > 0 ? freeOn(state, now + holdTime) : 0;
    return sum;
}

int64_t SlotTable::inUseOn(const WorkerId& worker) const
{
    auto it = m_workerIndex.find(worker);
    if (it == m_workerIndex.end())
        return 0;
    return m_workers[it->second].ownInUse + m_workers[it->second].borrowedInUse;
}

int64_t SlotTable::owned() const
{
    int64_t sum = 0;
    for (const auto& state : m_workers)
        sum += std::count_if(state.slots.begin(), state.slots.end(), [](const auto& slot) { return slot.isOwned; });
    return sum;
}

int64_t SlotTable::settled() const
{
    int64_t sum = 0;
    for (const auto& state : m_workers)
        sum += state.settled;
    return sum;
}

int64_t SlotTable::lent() const
{
    int64_t sum = 0;
    for (const auto& state : m_workers)
        sum += state.lent;
    return sum;
}

int64_t SlotTable::borrowed(Instant now) const
{
    int64_t sum = 0;
    for (const auto& [key, loan] : m_borrowed)
        sum += loan.until > now ? static_cast<int64_t>(loan.workers.size()) : 0;
    return sum;
}

}
