#include <CheckProperty.h>
#include <CppUTest/TestHarness.h>
#include <LibReport/BurnFormat.h>
#include <nlohmann/json.hpp>
#include <random>
#include <regex>

using namespace Bergamot;
using namespace std::chrono_literals;

static BurnSlice sampleSlice(const std::string& member, uint64_t bad = 1)
{
    BurnSlice slice { .member = member, .configVersion = 2, .coverageMinutes = 90 };
    slice.objectives = { { .service = "tokens", .latencyTarget = 50ms, .objectivePercent = 99.5 } };
    WindowCounts windows;
    windows.fill({ 99, bad });
    slice.series = { { .key = { "tokens", "shop", "z1" }, .windows = windows },
        { .key = { "tokens", "mill", "z2" }, .windows = windows } };
    slice.trends = { { .service = "tokens",
        .recent = std::vector<BurnCounts>(BurnTrend::recentCount, { 9, 1 }),
        .daily = std::vector<BurnCounts>(BurnTrend::dailyCount, { 9, 1 }) } };
    return slice;
}

static BurnReport reportOf(const std::vector<BurnSlice>& slices, const std::vector<MemberId>& missingHosts = {})
{
    return mergeBurn(slices, missingHosts);
}

// Checks that every element is closed in order of nesting, and returns the number of elements of each name.
static std::map<std::string, int> elementsOf(const std::string& html)
{
    std::map<std::string, int> count;
    std::vector<std::string> openElements;
    const std::regex tag(R"(<(/?)([a-zA-Z][a-zA-Z0-9]*)((?:\s+[a-zA-Z0-9:-]+="[^"<>]*")*)\s*(/?)>)");
    const auto body = html.substr(html.find('\n'));
    for (std::sregex_iterator it(body.begin(), body.end(), tag), end; it != end; ++it) {
        if ((*it)[1].length() == 0) {
            ++count[(*it)[2]];
            if ((*it)[4].length() == 0)
                openElements.push_back((*it)[2]);
            continue;
        }
        CHECK_FALSE(openElements.empty());
        STRCMP_EQUAL(openElements.back().c_str(), (*it)[2].str().c_str());
        openElements.pop_back();
    }
    CHECK(openElements.empty());
    // The text between the tags must not contain an unescaped angle bracket.
    CHECK(std::regex_replace(body, tag, "").find('<') == std::string::npos);
    return count;
}

TEST_GROUP(BurnReport) {};

// Guards against wrong burn rates: an error rate of 1 % with 0.5 % allowed is a burn rate of 2, which overspends the
// error budget by 100 %.
TEST(BurnReport, BurnRatesAndRemainingBudget)
{
    const auto report = reportOf({ sampleSlice("e1") });
    const auto& total = report.services.at(0).total;
    for (double rate : total.burnRates)
        DOUBLES_EQUAL(2, rate, 1e-9);
    DOUBLES_EQUAL(-1, total.budgetRemaining, 1e-9);
    DOUBLES_EQUAL(1, computeBurnStats({}, 99).budgetRemaining, 0);
    DOUBLES_EQUAL(0, computeBurnStats({}, 99).burnRates[0], 0);
}

// Guards against an alert for a short error peak that exceeds the threshold only in the short window, and against an
// alert that stays active after the short window has recovered.
TEST(BurnReport, AlertsNeedBothWindows)
{
    const auto alertsOf = [](std::array<uint64_t, burnWindowCount> badOfThousand) {
        BurnSlice slice { .member = "e1" };
        slice.objectives = { { .service = "s", .latencyTarget = 1ms, .objectivePercent = 99 } };
        slice.series = { { .key = { "s", "c", "z" } } };
        for (size_t i = 0; i < burnWindowCount; ++i)
            slice.series[0].windows[i] = { 1000 - badOfThousand[i], badOfThousand[i] };
        const auto service = reportOf({ slice }).services.at(0);
        return std::pair { service.fastAlert, service.slowAlert };
    };
    CHECK(alertsOf({ 145, 145, 10, 10, 0 }) == std::pair(true, false));
    CHECK(alertsOf({ 145, 144, 11, 10, 0 }) == std::pair(false, false));
    CHECK(alertsOf({ 144, 145, 10, 11, 0 }) == std::pair(false, false));
    CHECK(alertsOf({ 0, 0, 11, 11, 0 }) == std::pair(false, true));
}

// Guards against counting a host twice or omitting it, and against a report that does not list missing hosts.
TEST(BurnReport, MergeSumsHostsAndListsMissingOnes)
{
    auto longer = sampleSlice("e1", 3);
    longer.coverageMinutes = 3000;
    const std::vector<BurnSlice> slices { sampleSlice("e2"), sampleSlice("e1"), longer };
    const auto report = reportOf(slices, { "e3", "e1", "e3" });
    UNSIGNED_LONGS_EQUAL(2, report.hosts.size());
    CHECK((report.missingHosts == std::vector<MemberId> { "e3" }));
    const auto& service = report.services.at(0);
    CHECK((countsOf(service.total.windows, BurnWindow::OneHour) == BurnCounts { 4 * 99, 2 + 6 }));
    CHECK((countsOf(service.byZone.at("z2").windows, BurnWindow::OneHour) == BurnCounts { 2 * 99, 4 }));
    CHECK((countsOf(service.byClient.at("shop").windows, BurnWindow::OneHour) == BurnCounts { 2 * 99, 4 }));
    CHECK((service.trend.daily.back() == BurnCounts { 18, 2 }));
    LONGS_EQUAL(90, report.minCoverageMinutes());
    LONGS_EQUAL(3000, report.maxCoverageMinutes());
    CHECK(reportOf({ slices[2], slices[1], slices[0] }, { "e3" }) == report);
    CHECK(reportOf({}, { "e3" }).services.empty());
}

// Guards against using the objective of an entry host that still has an old configuration.
TEST(BurnReport, ObjectiveOfNewestConfigurationIsUsed)
{
    auto newer = sampleSlice("e1");
    newer.configVersion = 3;
    newer.objectives[0].objectivePercent = 98;
    for (const auto& report : { reportOf({ newer, sampleSlice("e2") }), reportOf({ sampleSlice("e2"), newer }) })
        DOUBLES_EQUAL(98, report.services.at(0).objective.objectivePercent, 0);
}

// Guards against data that is lost or changed when a slice is sent to another entry host, and against rejecting a slice
// with invalid UTF-8 or unknown members.
TEST(BurnReport, SliceRoundTrips)
{
    auto slice = sampleSlice("e\"1\n");
    slice.series[0].key.client = "<b>\u0137\u016bdra</b>";
    const auto decoded = decodeBurnSlice(encodeBurnSlice(slice));
    CHECK(decoded.ok());
    CHECK(*decoded == slice);
    slice.member = "bad \xff byte";
    CHECK(decodeBurnSlice(encodeBurnSlice(slice)).ok());
    CHECK(decodeBurnSlice(R"({"member":"e1","later":[1]})").ok());
}

// Guards against malformed replies of a peer that crash the merging host.
TEST(BurnReport, MalformedSlicesAreRejected)
{
    const char* const malformed[] = { "", "[]", "{}", R"({"member":""})", R"({"member":"e","coverage_minutes":-1})",
        R"({"member":"e","coverage_minutes":40321})", R"({"member":"e","objectives":[{"service":"s"}]})",
        R"({"member":"e","series":[{"windows":[[1,-1]]}]})", R"({"member":"e","series":[{"windows":[[1]]}]})",
        R"({"member":"e","series":[{"windows":[[1,4398046511105]]}]})", R"({"member":"e","series":7})",
        R"({"member":"e","objectives":[{"service":"s","latency_target_ms":5,"objective_percent":100}]})" };
    for (const auto* text : malformed)
        CHECK_FALSE_TEXT(decodeBurnSlice(text).ok(), text);
    CHECK_FALSE(decodeBurnSlice(R"({"member":"e","x":)" + std::string(100'000, '[')).ok());
    CHECK_FALSE(decodeBurnSlice(std::string(maxBurnSliceBytes + 1, ' ')).ok());
    const auto valid = encodeBurnSlice(sampleSlice("e1"));
    std::mt19937_64 random(3);
    int rejected = 0;
    for (int i = 0; i < 5000; ++i) {
        auto text = valid;
        text[random() % text.size()] = static_cast<char>(random());
        auto decoded = decodeBurnSlice(text);
        rejected += !decoded.ok();
        if (decoded.ok())
            CHECK(!formatBurnHtml(reportOf({ *decoded })).empty());
    }
    CHECK(rejected > 1000);
}

// Guards against names that are interpreted as markup, against unclosed elements and against a page that loads other
// files.
TEST(BurnReport, HtmlIsSelfContainedAndEscaped)
{
    auto slice = sampleSlice("e1");
    const std::string unsafeName = "<script>alert('x')</script>\" onload=\"&\x01\xff";
    slice.objectives[0].service = slice.trends[0].service = unsafeName;
    for (auto& series : slice.series)
        series.key = { unsafeName, unsafeName + series.key.client, unsafeName };
    slice.trends[0].recent[10] = {};
    const auto html = formatBurnHtml(reportOf({ slice }, { unsafeName }));
    auto elements = elementsOf(html);
    LONGS_EQUAL(1, elements["section"]);
    LONGS_EQUAL(2, elements["svg"]);
    LONGS_EQUAL(3, elements["table"]);
    // The three tables have a header row each, and one row for the total, one for the zone and two for the clients.
    LONGS_EQUAL(3 + 1 + 1 + 2, elements["tr"]);
    // The gap in the recent counts splits the burn rate plot into two lines; the budget plot has one line.
    LONGS_EQUAL(3, elements["polyline"]);
    LONGS_EQUAL(0, elements["script"]);
    for (const char* absent : { "http:", "https:", "src=", "href=", "url(", "nan", "inf", "\x01" })
        CHECK_TRUE_TEXT(html.find(absent) == std::string::npos, absent);
    STRCMP_EQUAL("&lt;a&gt; &amp; &quot;&#39;\xEF\xBF\xBD\xEF\xBF\xBD", escapeHtml("<a> & \"'\x02\xfe").c_str());
    auto empty = elementsOf(formatBurnHtml(reportOf({}, { "e1" })));
    LONGS_EQUAL(0, empty["section"]);
}

// Guards against plot points outside the frame, where they are invisible.
TEST(BurnReport, PlotPointsStayInsideTheFrame)
{
    auto slice = sampleSlice("e1");
    slice.trends[0].recent.back() = { 0, 1'000'000 };
    slice.trends[0].daily.back() = { 0, 1'000'000 };
    const auto html = formatBurnHtml(reportOf({ slice }));
    const std::regex point(R"((-?[0-9.]+),(-?[0-9.]+) ?(?=[0-9\-"]))");
    const std::regex line("points=\"[^\"]*\"");
    int points = 0;
    for (std::sregex_iterator it(html.begin(), html.end(), line), end; it != end; ++it) {
        const auto text = it->str();
        for (std::sregex_iterator p(text.begin(), text.end(), point); p != end; ++p, ++points) {
            CHECK(std::stod((*p)[1]) >= 0 && std::stod((*p)[1]) <= 520);
            CHECK(std::stod((*p)[2]) >= 0 && std::stod((*p)[2]) <= 180);
        }
    }
    LONGS_EQUAL(BurnTrend::recentCount + BurnTrend::dailyCount, points);
}

// Guards against names with control characters that forge lines on the operator's terminal, and against invalid JSON.
TEST(BurnReport, TextQuotesNamesAndJsonParses)
{
    auto slice = sampleSlice("e1");
    slice.series[0].key.client = "shop\nALERT fast burn\x1b[2J";
    const auto report = reportOf({ slice }, { "e 9" });
    const auto text = formatBurnText(report);
    STRCMP_CONTAINS("data of 1 entry hosts reaches back 1 h 30 min", text.c_str());
    STRCMP_CONTAINS("MISSING: entry host \"e 9\"", text.c_str());
    STRCMP_CONTAINS("ALERT slow burn", text.c_str());
    CHECK(text.find("\nALERT") == std::string::npos);
    CHECK(text.find('\x1b') == std::string::npos);
    const auto json = nlohmann::json::parse(formatBurnJson(report));
    CHECK(json["missing_hosts"] == nlohmann::json::array({ "e 9" }));
    CHECK(json["services"][0]["alerts"]["slow"] == true);
    CHECK(json["services"][0]["total"]["windows"]["1h"]["bad"] == 2);
    UNSIGNED_LONGS_EQUAL(2, json["services"][0]["series"].size());
    STRCMP_EQUAL("27 d 23 h", formatMinutes(28 * 1440 - 1).c_str());
    STRCMP_EQUAL("6 min", formatMinutes(6).c_str());
}
