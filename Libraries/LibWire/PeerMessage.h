#pragma once

#include <LibWire/BurnReply.h>
#include <LibWire/BurnRequest.h>
#include <LibWire/ConfigOffer.h>
#include <LibWire/Heartbeat.h>
#include <LibWire/JobQuery.h>
#include <LibWire/JobQueryReply.h>
#include <LibWire/RecordRelay.h>
#include <LibWire/ShareGrantMessage.h>
#include <LibWire/ShareReportMessage.h>
#include <LibWire/SlotLoan.h>
#include <LibWire/SlotLoanRequest.h>
#include <LibWire/SlotReturn.h>
#include <variant>

namespace Bergamot {

/// A message between entry hosts. The order of the alternatives is part of the wire format; append new ones at the end.
using PeerMessage = std::variant<Heartbeat, SlotLoanRequest, SlotLoan, SlotReturn, ConfigOffer, RecordRelay,
    ShareReportMessage, ShareGrantMessage, BurnRequest, BurnReply, JobQuery, JobQueryReply>;

}
