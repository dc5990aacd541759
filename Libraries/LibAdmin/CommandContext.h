#pragma once

#include <LibAdmin/AdminSession.h>
#include <LibAdmin/Arguments.h>
#include <LibAdmin/Environment.h>
#include <LibAdmin/Output.h>
#include <LibAdmin/ProgressReporter.h>

namespace Bergamot {

/// What a command works with.
struct CommandContext {
    const Arguments& arguments;
    Environment& environment;
    Output& output;
    ProgressReporter& progress;
    /// Unused by commands that need no entry host.
    AdminSession& session;
};

}
