#include <LibCore/Logger.h>
#include <LibCore/StatusText.h>
#include <LibHttp/EventLoop.h>
#include <LibNode/ProgressJournal.h>
#include <LibPlatform/RecordLimits.h>
#include <LibWire/ValueCodec.h>
#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace Bergamot {

static constexpr const char* writerName = "leader";
static constexpr Milliseconds fenceTimeout { 1000 };
static constexpr Milliseconds retryDelay { 150 };

/// Changes made within this time share an append.
static constexpr Milliseconds batchDelay { 8 };

/// Time after which urgent changes no longer wait for the reply to the append before them.
static constexpr Milliseconds maxWaitForReply { 100 };

/// Key of a record without a value, which readers never get.
static constexpr const char* placeholderKey = "omitted";

/// The size of smaller records does not explain why the store refuses them, so their append is repeated.
static constexpr size_t minRefusableBytes = size_t { 16 } << 10;

/// The store recognizes a repeat of one of the last five appends.
static constexpr size_t maxAppends = 5;

ProgressJournal::ProgressJournal(EventLoop& loop, RecordStore& store, Options options)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
{
}

ProgressJournal::~ProgressJournal() { *m_alive = false; }

void ProgressJournal::fencePredecessors(std::function<void()> onDone)
{
    AppendRequest request { .stream = StreamName::Progress,
        .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = 0 } };
    auto handleReply = [this, alive = m_alive, onDone = std::move(onDone), sentAt = m_loop.now()](auto reply) {
        if (!*alive)
            return;
        // Under a slow store, the first append would be repeated before its answer arrives.
        m_timeout.recordResult(reply.status(), m_loop.now() - sentAt);
        if (reply.ok() && reply->outcome == AppendOutcome::Fenced)
            return m_options.onFenced();
        if (reply.ok())
            return onDone();
        logWarning("lock_out_failed", { { "epoch", m_options.epoch }, { "error", statusText(reply.status()) } });
        m_loop.callAfter(retryDelay, [this, alive, onDone] {
            if (*alive)
                fencePredecessors(onDone);
        });
    };
    m_store.append(request, fenceTimeout, std::move(handleReply));
}

/// The first append of an epoch must not be followed by another before its reply: the store accepts any sequence number
/// from a new epoch, and would then reject the first one.
bool ProgressJournal::mayCollect() const
{
    if (m_isFenced)
        return false;
    if (m_appends.empty())
        return true;
    return m_isUrgent && m_storedSequence > 0 && m_sequence - m_storedSequence < maxAppends
        && m_loop.now() - m_appends.back().collectedAt >= maxWaitForReply;
}

void ProgressJournal::requestFlush()
{
    if (!mayCollect()) {
        m_isFlushRequested = true;
        return;
    }
    if (std::exchange(m_isFlushScheduled, true))
        return;
    m_loop.callAfter(batchDelay, [this, alive = m_alive] {
        if (*alive)
            flush();
    });
}

void ProgressJournal::requestUrgentFlush()
{
    m_isUrgent = true;
    requestFlush();
}

/// Takes the records from the front that fit into one append, one at least.
static std::vector<KeyedRecord> takeRecordsOfAppend(std::deque<KeyedRecord>& records)
{
    std::vector<KeyedRecord> taken;
    size_t bytes = 0;
    do {
        bytes += encodedSizeOf(records.front());
        taken.push_back(std::move(records.front()));
        records.pop_front();
    } while (!records.empty() && bytes + encodedSizeOf(records.front()) <= maxAppendBytes);
    return taken;
}

static std::deque<KeyedRecord> encodeRecords(const ProgressBatch& batch)
{
    std::deque<KeyedRecord> records;
    for (const auto& job : batch.jobs)
        records.push_back({ .key = jobKeyPrefix + job.id, .value = encodeValue(job) });
    // A large batch is split. Added workers could hide from a successor which ones an earlier leader relies on, if the
    // unreached workers were stored after them.
    if (batch.unreachedWorkers)
        records.push_back({ .key = unreachedWorkersKey, .value = encodeValue(*batch.unreachedWorkers) });
    if (batch.assignedWorkers)
        records.push_back({ .key = assignedWorkersKey, .value = encodeValue(*batch.assignedWorkers) });
    if (batch.pressures)
        records.push_back({ .key = pressuresKey, .value = encodeValue(*batch.pressures) });
    for (const auto& [list, starts] : batch.unansweredStarts)
        records.push_back({ .key = unansweredStartsKeyPrefix + std::to_string(list), .value = encodeValue(starts) });
    return records;
}

/// Removes the record with this key from the batch, so that nothing that depends on it follows.
static void leaveOut(ProgressBatch& batch, const std::string& key)
{
    ++batch.omittedRecords;
    if (key == pressuresKey) {
        batch.pressures.reset();
    } else if (key == unreachedWorkersKey) {
        batch.unreachedWorkers.reset();
    } else if (key == assignedWorkersKey) {
        batch.assignedWorkers.reset();
    } else if (key.starts_with(unansweredStartsKeyPrefix)) {
        std::erase_if(batch.unansweredStarts,
            [&](const auto& it) { return unansweredStartsKeyPrefix + std::to_string(it.first) == key; });
    } else {
        auto job = key.substr(std::string_view(jobKeyPrefix).size());
        std::erase_if(batch.jobs, [&](const JobProgress& it) { return it.id == job; });
        batch.omittedJobs.push_back(std::move(job));
    }
}

/// Whether the record must not be stored without the other one. Added workers could hide from a successor which ones an
/// earlier leader relies on, if the unreached workers were not stored before them.
static bool dependsOn(const std::string& key, const std::string& other)
{
    return key == assignedWorkersKey && other == unreachedWorkersKey;
}

/// Takes the keys of the records that exceed the limit, and of those that depend on them, from the front of `records`.
static std::vector<std::string> takeOversized(std::deque<KeyedRecord>& records, size_t maxRecordBytes)
{
    std::vector<std::string> omitted;
    for (const auto& record : records) {
        bool isDependent = std::ranges::any_of(omitted, [&](const auto& it) { return dependsOn(record.key, it); });
        if (contentSizeOf(record) <= maxRecordBytes && !isDependent)
            continue;
        logError("record_omitted",
            { { "key", record.key }, { "bytes", contentSizeOf(record) }, { "max_bytes", maxRecordBytes } });
        omitted.push_back(record.key);
    }
    std::erase_if(records, [&](const KeyedRecord& it) { return std::ranges::find(omitted, it.key) != omitted.end(); });
    return omitted;
}

void ProgressJournal::flush()
{
    m_isFlushScheduled = false;
    m_isFlushRequested = false;
    m_isUrgent = false;
    auto batch = m_options.collect();
    auto records = encodeRecords(batch);
    for (const auto& key : takeOversized(records, m_store.maxRecordBytes()))
        leaveOut(batch, key);
    if (records.empty() && m_appends.empty())
        return m_options.onStored(batch);
    m_loop.callAfter(maxWaitForReply, [this, alive = m_alive] {
        if (*alive && m_isFlushRequested)
            requestFlush();
    });
    if (records.empty()) {
        m_appends.push_back(
            { .sequence = m_sequence, .batch = std::move(batch), .completesBatch = true, .collectedAt = m_loop.now() });
        return;
    }
    auto firstSequence = m_sequence + 1;
    while (!records.empty())
        m_appends.push_back({ .sequence = ++m_sequence,
            .request = { .stream = StreamName::Progress,
                .records = takeRecordsOfAppend(records),
                .fence = WriterFence { .writer = writerName, .epoch = m_options.epoch, .sequence = m_sequence } },
            .collectedAt = m_loop.now() });
    m_appends.back().batch = std::move(batch);
    m_appends.back().completesBatch = true;
    // The further appends of a large batch follow one by one.
    send(*std::ranges::find(m_appends, firstSequence, &Append::sequence));
}

/// Leaves the largest record out of an append that the store has refused for good. Returns false if none is large. Each
/// append keeps its sequence number, because a call of a later one may still be executed.
bool ProgressJournal::leaveOutRefusedRecord(Append& refused)
{
    auto& records = refused.request.records;
    auto largest = std::ranges::max_element(records, {}, contentSizeOf);
    if (largest == records.end() || contentSizeOf(*largest) < minRefusableBytes)
        return false;
    auto key = largest->key;
    logError("record_omitted",
        { { "key", key }, { "bytes", contentSizeOf(*largest) }, { "max_bytes", m_store.maxRecordBytes() } });
    auto begin = std::ranges::find(m_appends, refused.sequence, &Append::sequence);
    auto last = std::find_if(begin, m_appends.end(), [](const Append& it) { return it.completesBatch; });
    leaveOut(last->batch, key);
    for (auto append = begin; append <= last; ++append) {
        auto& others = append->request.records;
        for (const auto& record : others) {
            if (dependsOn(record.key, key))
                leaveOut(last->batch, record.key);
        }
        std::erase_if(others, [&](const KeyedRecord& it) { return it.key == key || dependsOn(it.key, key); });
        // An append without records would not take up its sequence number. Without a value, nothing is stored.
        if (others.empty())
            others.push_back({ .key = placeholderKey });
    }
    return true;
}

void ProgressJournal::send(Append& append)
{
    ++m_appendCount;
    append.isInProgress = true;
    append.sentAt = m_loop.now();
    m_store.append(append.request, m_timeout.current(),
        [this, alive = m_alive, sequence = append.sequence](absl::StatusOr<AppendReply> reply) {
            if (*alive)
                handleReply(sequence, std::move(reply));
        });
}

void ProgressJournal::repeatFirst()
{
    if (!m_isFenced && !m_appends.empty() && !m_appends.front().isInProgress)
        send(m_appends.front());
}

void ProgressJournal::handleReply(uint64_t sequence, absl::StatusOr<AppendReply> reply)
{
    auto append = std::ranges::find(m_appends, sequence, &Append::sequence);
    // A later append has been stored, and this one before it.
    if (append == m_appends.end() || m_isFenced)
        return;
    append->isInProgress = false;
    m_timeout.recordResult(reply.status(), m_loop.now() - append->sentAt);
    bool isFirst = append == m_appends.begin();
    if (isFirst && absl::IsInvalidArgument(reply.status()) && leaveOutRefusedRecord(*append))
        return send(*append);
    if (!reply.ok()) {
        // Retries are idempotent: the store recognizes the sequence number if the first append took effect.
        logWarning("progress_append_failed",
            { { "epoch", m_options.epoch }, { "sequence", sequence }, { "error", statusText(reply.status()) } });
        if (!isFirst)
            return;
        m_loop.callAfter(retryDelay, [this, alive = m_alive] {
            if (*alive)
                repeatFirst();
        });
        return;
    }
    // The store lacks an append before this one, which is repeated after it.
    if (reply->outcome == AppendOutcome::WrongSequence && !isFirst)
        return;
    if (reply->outcome != AppendOutcome::Appended) {
        logError("progress_append_refused",
            { { "epoch", m_options.epoch }, { "sequence", sequence },
                { "outcome", static_cast<int>(reply->outcome) } });
        m_isFenced = true;
        return m_options.onFenced();
    }
    handleStored(sequence);
}

/// The store accepts an append only after the one before it, so all earlier ones are stored too.
void ProgressJournal::handleStored(uint64_t sequence)
{
    m_storedSequence = sequence;
    while (!m_appends.empty() && m_appends.front().sequence <= sequence) {
        auto append = std::move(m_appends.front());
        m_appends.pop_front();
        if (append.completesBatch)
            m_options.onStored(append.batch);
    }
    repeatFirst();
    if (m_isFlushRequested)
        requestFlush();
}

}
