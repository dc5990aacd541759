#include "Files.h"
#include <CppUTest/TestHarness.h>
#include <LibConfig/ConfigDiff.h>
#include <LibConfig/NodeSettingsLoader.h>
#include <LibConfig/Schema.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/SiteConfigLoader.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace Bergamot;

// The seed is fixed, so that every CI run has the same result.
TEST_GROUP(SiteConfigProperties) { void setup() override { setenv("RC_PARAMS", "seed=20261204 max_success=200", 1);
}
}
;

static const std::string& baseText()
{
    static const auto text = repositoryFile("Examples/base.toml");
    return text;
}

static SiteConfig loadOrFail(const std::string& overlay)
{
    return std::get<SiteConfig>(loadSite({ .baseText = baseText(), .overlayText = overlay }));
}

/// Random values over the whole range for a random subset of the policy keys of the base file.
static std::map<std::string, int64_t> arbitraryPolicy()
{
    std::map<std::string, int64_t> values;
    for (const auto* spec : siteSchema().keysOf("policy")) {
        auto isInBase = baseText().find("\n" + std::string(spec->name) + " = ") != std::string::npos;
        if (isInBase && *rc::gen::arbitrary<bool>())
            values[std::string(spec->name)]
                = *rc::gen::inRange<int64_t>(static_cast<int64_t>(spec->min), static_cast<int64_t>(spec->max) + 1);
    }
    return values;
}

// Guards against overlays that change keys they do not name, or that are accepted although a key has no effect.
TEST(SiteConfigProperties, AnAcceptedOverlayChangesExactlyWhatItNames)
{
    auto base = loadOrFail("");
    CHECK(rc::check([&] {
        auto values = arbitraryPolicy();
        std::string overlay = "[policy]\n";
        std::set<std::string> named;
        for (const auto& [key, value] : values) {
            overlay += fmt::format("{} = {}\n", key, value);
            named.insert("policy." + key);
        }
        auto result = loadSite({ .baseText = baseText(), .overlayText = overlay });
        if (auto* findings = std::get_if<Findings>(&result)) {
            // The values are in range, so only those equal to the base may be rejected.
            for (const auto& finding : *findings)
                RC_ASSERT(finding.message.find("changes nothing") != std::string::npos);
            return;
        }
        std::set<std::string> changed;
        for (const auto& change : diff(base, std::get<SiteConfig>(result)))
            changed.insert(change.key);
        RC_ASSERT(changed == named);
    }));
}

// Guards against fields that are lost or altered when a configuration is encoded and decoded.
TEST(SiteConfigProperties, CanonicalJsonRoundTrip)
{
    CHECK(rc::check([] {
        auto config = loadOrFail(
            *rc::gen::element(repositoryFile("Examples/riga.toml"), repositoryFile("Examples/sofia.toml")));
        for (auto& service : config.services) {
            service.objectivePercent = *rc::gen::inRange(100, 9999) / 100.0;
            service.timeout = Milliseconds(*rc::gen::inRange(2000, 60000));
            service.zoneSpread = *rc::gen::arbitrary<bool>();
        }
        for (auto& kind : config.kinds)
            kind.priority = *rc::gen::inRange(-1000, 1000);
        for (auto& client : config.clients) {
            client.priorityClass = *rc::gen::element(PriorityClass::Low, PriorityClass::Normal, PriorityClass::High);
            for (auto& terms : client.renewals)
                terms.concurrency += *rc::gen::just(1000);
        }
        auto text = encodeSiteConfig(config);
        auto decoded = decodeSiteConfig(text);
        RC_ASSERT(std::holds_alternative<SiteConfig>(decoded));
        RC_ASSERT(std::get<SiteConfig>(decoded) == config);
        RC_ASSERT(encodeSiteConfig(std::get<SiteConfig>(decoded)) == text);
    }));
}

// Guards against keys that the schema has, but the encoded configuration lacks.
TEST(SiteConfigProperties, EveryKeyOfTheTableIsEncoded)
{
    for (const char* site : { "Examples/riga.toml", "Examples/sofia.toml" }) {
        auto tree = nlohmann::json::parse(encodeSiteConfig(loadOrFail(repositoryFile(site))));
        for (const auto& section : siteSchema().sections()) {
            const auto& keys = tree.at(std::string(section.name));
            const auto& entry = section.hasEntries ? keys.begin().value() : keys;
            std::set<std::string> encoded;
            for (const auto& [key, value] : entry.items())
                encoded.insert(key);
            std::set<std::string> expected;
            for (const auto* spec : siteSchema().keysOf(section.name))
                expected.insert(std::string(spec->name));
            expected.erase("enabled");
            CHECK(encoded == expected);
        }
    }
}

/// A valid text with some bytes replaced, removed or repeated, which exercises more of the parser than random bytes do.
static std::string withRandomDamage(std::string text)
{
    auto changes = *rc::gen::inRange(1, 8);
    for (int n = 0; n < changes && !text.empty(); ++n) {
        auto at = *rc::gen::inRange<size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<size_t>(1, 40));
            break;
        default:
            text.insert(at, text.substr(*rc::gen::inRange<size_t>(0, text.size()), 40));
        }
    }
    return text;
}

// Guards against exceptions and crashes on invalid input. A result is either a configuration or at least one finding.
TEST(SiteConfigProperties, InvalidInputResultsInFindings)
{
    auto riga = repositoryFile("Examples/riga.toml");
    auto node = repositoryFile("Examples/bergamotd.toml");
    auto json = encodeSiteConfig(loadOrFail(riga));
    auto isConfigOrFindings = [](const auto& result) {
        auto* findings = std::get_if<Findings>(&result);
        return !findings || !findings->empty();
    };
    CHECK(rc::check([&] {
        auto bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(!std::holds_alternative<SiteConfig>(loadSite({ .baseText = bytes, .overlayText = bytes })));
        RC_ASSERT(!std::holds_alternative<SiteConfig>(decodeSiteConfig(bytes)));
        RC_ASSERT(!std::holds_alternative<NodeSettings>(loadNodeSettings(bytes, "node.toml")));
        RC_ASSERT(isConfigOrFindings(
            loadSite({ .baseText = withRandomDamage(baseText()), .overlayText = withRandomDamage(riga) })));
        RC_ASSERT(isConfigOrFindings(decodeSiteConfig(withRandomDamage(json))));
        RC_ASSERT(isConfigOrFindings(loadNodeSettings(withRandomDamage(node), "node.toml")));
    }));
}

// Guards against stack exhaustion by deeply nested input, and against accepted JSON that the schema does not allow.
TEST(SiteConfigProperties, InvalidBodiesAreRejected)
{
    auto nested = std::string(500'000, '[') + std::string(500'000, ']');
    for (const auto& body :
        { nested, "{\"policy\":" + nested + "}", std::string("null"), std::string("{}x"), std::string(2 << 20, ' '),
            std::string(R"({"regions":{"m":{"zones":["a"]}},"policy":{"queue_limit":18446744073709551615}})"),
            std::string(R"({"regions":{"m":{"zones":["a"]}},"services":[]})") })
        CHECK(std::holds_alternative<Findings>(decodeSiteConfig(body)));
    CHECK(std::holds_alternative<SiteConfig>(decodeSiteConfig(R"({"regions":{"m":{"zones":["a"]}}})")));
    auto deepToml = "x = " + std::string(100'000, '[');
    CHECK(std::holds_alternative<Findings>(loadSite({ .baseText = deepToml })));
}
