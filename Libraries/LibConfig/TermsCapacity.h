#pragma once

#include <LibConfig/Findings.h>
#include <LibConfig/SiteConfig.h>
#include <LibConfig/ZoneCapacity.h>
#include <map>
#include <vector>

namespace Bergamot {

using ZoneCapacities = std::vector<ZoneCapacity>;

/// Current terms of the clients that have renewed. Other clients have the terms of the configuration.
using TermsInForce = std::map<ClientId, ClientTerms, std::less<>>;

/// The number of slots of a service that remain when the zone with the most workers is unavailable. Workers in zones
/// that the configuration lacks do not count.
int64_t slotsWithLargestZoneOut(const SiteConfig& config, const ServiceConfig& service, const ZoneCapacities& capacity);

/// Checks that the concurrency guaranteed to all clients fits the slots that remain when the largest zone is
/// unavailable, in total and for every set of services that some clients are limited to. The check is not part of
/// loadSite(), because the numbers of workers come from the platform's host list.
Findings checkTermsFit(const SiteConfig& config, const ZoneCapacities& capacity, const TermsInForce& inForce = {});

}
