#pragma once

#include <LibAdmin/CommandContext.h>
#include <LibAdmin/ExitStatus.h>

namespace Bergamot {

// The commands of bergamotctl. Each reports its result or error and returns the exit status.

ExitStatus validate(CommandContext& context);
ExitStatus showEffective(CommandContext& context);
ExitStatus publish(CommandContext& context);
ExitStatus showKeys(CommandContext& context);
ExitStatus showConfig(CommandContext& context);
ExitStatus diffConfig(CommandContext& context);
ExitStatus showConfigHistory(CommandContext& context);

ExitStatus showStatus(CommandContext& context);
ExitStatus changeZone(CommandContext& context);
ExitStatus listHosts(CommandContext& context);
ExitStatus changeHost(CommandContext& context);
ExitStatus showBurn(CommandContext& context);

ExitStatus submitJob(CommandContext& context);
ExitStatus listJobs(CommandContext& context);
ExitStatus showJob(CommandContext& context);
ExitStatus cancelJob(CommandContext& context);
ExitStatus explainJob(CommandContext& context);

ExitStatus explainFromLogs(CommandContext& context);

ExitStatus showTerms(CommandContext& context);
ExitStatus renewTerms(CommandContext& context);

}
