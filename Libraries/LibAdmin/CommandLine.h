#pragma once

#include <LibAdmin/Environment.h>
#include <LibAdmin/ExitStatus.h>
#include <string>
#include <vector>

namespace Bergamot {

/// The help text. docopt derives the parser of the command line from it.
extern const char* const commandLineUsage;

/// Parses the arguments after the program name and runs the command.
ExitStatus runCommandLine(const std::vector<std::string>& arguments, Environment& environment);

}
