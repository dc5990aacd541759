#pragma once

#include "Deployment.h"
#include <string>

namespace Review {

/// What a case found. The values are the exit statuses of a script.
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// The cases; each plays its disruption only if `trouble` is set.
Verdict playFalseRefusal(Deployment&, bool trouble);
Verdict playTwoRuns(Deployment&, bool trouble);
Verdict playManyEnds(Deployment&, bool trouble);
Verdict playRegions(Deployment&, bool trouble);
Verdict playHistory(Deployment&, bool trouble);

}
