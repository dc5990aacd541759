#pragma once

namespace Bergamot {

struct ClientConfig;
struct ClientTerms;
struct ConfigChange;
struct Finding;
struct JobKindConfig;
struct NodeSettings;
struct PolicyConfig;
struct RegionConfig;
struct ServiceConfig;
struct SiteConfig;
struct TeamConfig;

}
