#pragma once

#include <LibAdmin/AdminSession.h>
#include <LibAdmin/Arguments.h>
#include <LibAdmin/Environment.h>
#include <LibAdmin/Output.h>
#include <LibAdmin/ProgressReporter.h>

namespace Bergamot {

/// The arguments of a command and the interfaces that it uses.
struct CommandContext {
    const Arguments& arguments;
    Environment& environment;
    Output& output;
    ProgressReporter& progress;
    /// Commands that need no entry host do not use the session.
    AdminSession& session;
};

}
