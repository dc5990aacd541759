// Encodes a batch of records for appending to the log, and decodes it as a reader of the log does.
#include <LibCore/StatusText.h>
#include <LibWire/Codec.h>
#include <fmt/format.h>

using namespace Bergamot;

int main()
{
    const RecordBatch batch {
        .member = "e1",
        .incarnation = 1,
        .sequence = 1,
        .records = {
            ZoneChanged { .zone = "riga-a", .out = true },
            JobCancelled { .job = "settlement-7" },
        },
    };
    const auto bytes = encodeBatch(batch);
    const auto decoded = decodeBatch(bytes);
    if (!decoded.ok()) {
        fmt::print(stderr, "{}\n", statusText(decoded.status()));
        return 1;
    }
    for (const auto& record : decoded->records) {
        if (const auto* change = std::get_if<ZoneChanged>(&record))
            fmt::print("zone {} is {}\n", change->zone, change->out ? "out" : "in service");
        if (const auto* cancelled = std::get_if<JobCancelled>(&record))
            fmt::print("job {} is cancelled\n", cancelled->job);
    }
    return *decoded == batch ? 0 : 1;
}
