#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfig.h>
#include <LibConfig/ZoneCapacity.h>
#include <map>
#include <vector>

namespace Bergamot {

using ZoneCapacities = std::vector<ZoneCapacity>;

/// Terms of clients that have renewed; other clients have the terms of the configuration.
using TermsInForce = std::map<ClientId, ClientTerms, std::less<>>;

/// The slots of a service that remain when the zone with the most workers is out. Zones that the configuration does not
/// name do not count.
int64_t slotsWithLargestZoneOut(const SiteConfig& config, const ServiceConfig& service, const ZoneCapacities& capacity);

/// Checks that the concurrency guaranteed to all clients fits the slots that remain with the largest zone out, in total
/// and for every set of services that some clients are limited to. Workers come from the platform's host list, so this
/// is no part of loadSite().
Findings checkTermsFit(const SiteConfig& config, const ZoneCapacities& capacity, const TermsInForce& inForce = {});

}
