#include "ConfigWatch.h"
#include <LibCore/SteadyClock.h>
#include <LibHttp/HttpClient.h>
#include <LibStandIn/JsonField.h>
#include <LibStandIn/RecordJson.h>
#include <thread>

namespace Bergamot {

static constexpr std::chrono::milliseconds pollInterval { 200 };

nlohmann::json watchConfig(const ConfigWatchOptions& options, RecordSink& sink)
{
    SteadyClock clock;
    uint64_t samples = 0;
    std::vector<HttpClient> clients(options.operators.size());
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
    while (std::chrono::steady_clock::now() < end) {
        for (size_t i = 0; i < clients.size(); ++i) {
            auto reply = clients[i].call({ .url = options.operators[i] + "/admin/config",
                .headers = { { "Authorization", "Bearer " + options.token } },
                .timeout = Milliseconds(500),
                .sendLimit = SendLimit::unlimited() });
            if (!reply.ok() || reply->status != 200)
                continue;
            ++samples;
            sink.write(toJson(ConfigSeenEvent { .entry = options.entries.at(i),
                .version = jsonInteger(parseJson(reply->body), "version"),
                .atMs = clock.now().time_since_epoch().count() }));
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return { { "type", "summary" }, { "command", "watch" }, { "samples", samples } };
}

}
