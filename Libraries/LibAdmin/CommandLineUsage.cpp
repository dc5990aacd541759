#include <LibAdmin/CommandLine.h>

namespace Bergamot {

const char* const commandLineUsage = R"(bergamotctl: the operators' command line of bergamotbay.

Usage:
  bergamotctl validate [--capacity=ZONES] [options] BASE [OVERLAY]
  bergamotctl validate --node [options] SETTINGS
  bergamotctl effective [options] BASE OVERLAY
  bergamotctl publish [--based-on=VERSION] [--author=NAME] [--wait] [--timeout=SECONDS] [options] BASE OVERLAY
  bergamotctl status [options]
  bergamotctl zone (out | in) [options] ZONE
  bergamotctl host list [options]
  bergamotctl host (drain | undrain) [options] HOST
  bergamotctl job submit --client=NAME --team=NAME [--cpu-millis=N] [--memory-mb=N] [--accelerators=N] [--run-ms=N] [--urgent] [--key=TEXT] [options] KIND
  bergamotctl job list [--state=STATE] [--kind=KIND] [--team=NAME] [--limit=N] [options]
  bergamotctl job (show | cancel | why) [options] JOB
  bergamotctl explain [options] JOB LOG...
  bergamotctl terms show [options] [CLIENT]
  bergamotctl terms renew [--renewal=N] [options] CLIENT
  bergamotctl config show [options] [VERSION]
  bergamotctl config diff --files [options] BASE OVERLAY
  bergamotctl config diff [options] FROM TO
  bergamotctl config history [--limit=N] [options]
  bergamotctl burn [--format=FORMAT] [options]
  bergamotctl keys [options]
  bergamotctl (-h | --help)
  bergamotctl --version

Options:
  -h --help            Show this text.
  --version            Show the version.
  --entry=LIST         Operators' addresses of the entry hosts, IP:port, separated by commas. When one is gone, the
                       next is tried. Default: the variable BERGAMOT_ENTRY.
  --token-file=FILE    File with the operators' bearer token. Default: the variable BERGAMOT_TOKEN_FILE.
  --output=FORMAT      text for people or json for programs [default: text].
  --capacity=ZONES     Workers by zone, such as a=16,b=16, to check that the terms of clients fit.
  --node               Check the settings file of a daemon instead.
  --based-on=VERSION   The version that the files were made from.
  --author=NAME        The operator's name in the history. Default: the variable USER.
  --wait               Return when every live entry host reports the version. To cover several regions, give an
                       entry host of each in --entry.
  --timeout=SECONDS    How long --wait waits [default: 17].
  --client=NAME        The client that submits the job.
  --team=NAME          The team that the job counts for.
  --cpu-millis=N       Processors, in thousandths of a core. Default: from the kind.
  --memory-mb=N        Memory in MB. Default: from the kind.
  --accelerators=N     Accelerators. Default: from the kind.
  --run-ms=N           Expected run time in milliseconds. Default: from the kind.
  --urgent             Start the job before others.
  --key=TEXT           Idempotency key; a second submission with the same key gives the same job.
  --state=STATE        Only jobs in this state: pending, placed, revoking or ended.
  --kind=KIND          Only jobs of this kind.
  --limit=N            List at most N.
  --renewal=N          The number of the renewal; by default the next one.
  --files              Compare the version in force with files.
  --format=FORMAT      text, json or html; by default as in --output.

Exit status:
  0  The operation was done.
  1  The operation failed.
  2  The configuration has findings, or the usage is wrong.
  3  No entry host is reachable.
  4  Another operator's change came first.

Examples:
  bergamotctl validate Examples/base.toml Examples/riga.toml --capacity a=16,b=16,c=16
  bergamotctl config diff --files base.toml riga.toml
  bergamotctl publish base.toml riga.toml --based-on 12 --wait
  bergamotctl zone out b --entry 10.0.1.1:8081,10.0.2.1:8081 --token-file admin.token
  bergamotctl job submit settlement --client back-office --team settlement --key 2026-12-04
  bergamotctl job why riga-e1.7.42
  bergamotctl explain 5c0e7a21d94b36f8 front-1.log front-2.log
  bergamotctl terms renew kiosks
  bergamotctl status --output json
)";

}
