#pragma once

#include <LibCore/Ids.h>
#include <LibWire/JobStage.h>
#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace Bergamot {

/// The end states of jobs. A job whose id is 16 lowercase hexadecimal digits takes 16 bytes and its share of the free
/// space of a hash table, 40 bytes in all at most.
class EndedJobs {
public:
    struct Entry {
        JobStage state { JobStage::Completed };

        /// Whether the record of the job has been read; without it, the job is unknown to clients.
        bool isKnown { false };

        bool operator==(const Entry&) const = default;
    };

    /// Adds the job or replaces its entry.
    void set(const JobId&, Entry);

    /// Returns nullptr for a job that is not in the table. The pointer is valid until the next change of the table.
    Entry* find(const JobId&);
    const Entry* find(const JobId&) const;
    size_t size() const { return m_compact.size() + m_others.size(); }

private:
    static std::optional<uint64_t> compactId(const JobId&);

    absl::flat_hash_map<uint64_t, Entry> m_compact;

    /// Jobs whose ids have another form.
    std::unordered_map<JobId, Entry> m_others;
};

}
