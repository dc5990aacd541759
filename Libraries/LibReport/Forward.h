#pragma once

namespace Bergamot {

class BurnRing;
class BurnTracker;
class LabelValues;
class Metrics;
struct BurnCounts;
struct BurnKey;
struct BurnObjective;
struct BurnReport;
struct BurnSeries;
struct BurnSlice;
struct BurnTrend;

}
