#pragma once

#include <LibWire/ConfigPublished.h>
#include <LibWire/JobCancelled.h>
#include <LibWire/JobFailed.h>
#include <LibWire/JobSubmitted.h>
#include <LibWire/LeaderClaimed.h>
#include <LibWire/LeaderKeepalive.h>
#include <LibWire/MemberAdmitted.h>
#include <LibWire/MemberJoined.h>
#include <LibWire/MemberRemoved.h>
#include <LibWire/MembershipReset.h>
#include <LibWire/RequestClaimed.h>
#include <LibWire/RequestFinished.h>
#include <LibWire/SnapshotBegin.h>
#include <LibWire/SnapshotChunk.h>
#include <LibWire/TaskEnded.h>
#include <LibWire/TaskIntent.h>
#include <LibWire/TaskRevoked.h>
#include <LibWire/TermsRenewed.h>
#include <LibWire/WorkerDrainChanged.h>
#include <LibWire/WorkerListed.h>
#include <LibWire/WorkerQuarantined.h>
#include <LibWire/ZoneChanged.h>
#include <variant>

namespace Bergamot {

/// A record of a log stream. The order of the alternatives is part of the wire format; append new ones at the end.
using Record = std::variant<MemberJoined, MemberRemoved, LeaderClaimed, LeaderKeepalive, WorkerListed,
    WorkerQuarantined, ZoneChanged, WorkerDrainChanged, JobSubmitted, JobCancelled, TaskIntent, TaskRevoked, TaskEnded,
    RequestClaimed, RequestFinished, TermsRenewed, ConfigPublished, SnapshotBegin, SnapshotChunk, JobFailed,
    MemberAdmitted, MembershipReset>;

}
