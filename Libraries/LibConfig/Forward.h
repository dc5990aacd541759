#pragma once

namespace Bergamot {

class Schema;
struct CheckedTree;
struct ClientConfig;
struct ClientTerms;
struct ConfigChange;
struct Finding;
struct JobKindConfig;
struct NodeSettings;
struct KeySpec;
struct PolicyConfig;
struct SectionSpec;
struct SiteFiles;
struct SourceTree;
struct ZoneCapacity;
struct ReferenceContext;
struct RegionConfig;
struct ServiceConfig;
struct SiteConfig;
struct TeamConfig;

}
