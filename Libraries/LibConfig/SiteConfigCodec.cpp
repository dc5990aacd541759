#include <LibConfig/CheckedTree.h>
#include <LibConfig/SiteConfigCodec.h>
#include <LibConfig/SiteConfigTree.h>
#include <LibConfig/SiteReferences.h>
#include <LibConfig/TomlReader.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    /// Maximum nesting depth of the JSON input; deeper input could exhaust the stack. The deepest valid value is a
    /// renewal: clients, name, renewals, element, key.
    constexpr int maxDepth = 8;

    Json parseJson(std::string_view text)
    {
        bool isTooDeep = false;
        auto limitDepth = [&](int depth, Json::parse_event_t, Json&) {
            isTooDeep = isTooDeep || depth > maxDepth;
            return depth <= maxDepth;
        };
        auto json = Json::parse(text, limitDepth, false);
        return isTooDeep ? Json(Json::value_t::discarded) : json;
    }

}

std::string encodeSiteConfig(const SiteConfig& config)
{
    // The loaders accept ASCII names only. A configuration built in code can contain invalid UTF-8, on which dump()
    // throws without this error handler.
    return treeFromSite(config).dump(-1, ' ', false, Json::error_handler_t::replace);
}

SiteConfigResult decodeSiteConfig(std::string_view text)
{
    if (text.size() > maxConfigBytes)
        return Findings { { .message = "the configuration is larger than 1 MiB" } };
    SourceTree source { .root = parseJson(text) };
    if (!source.root.is_object())
        return Findings { { .message = "is not a JSON object of a configuration" } };
    Findings findings;
    auto tree = checkTree(siteSchema(), source, findings);
    applyDefaults(siteSchema(), tree, source, findings);
    ReferenceContext context { .unusable = tree.invalid,
        .makeFinding
        = [&](std::string_view path, std::string message) { return source.makeFinding(path, std::move(message)); } };
    auto config = siteFromTree(tree.values, context.disabled);
    auto references = checkReferences(config, context);
    findings.insert(findings.end(), references.begin(), references.end());
    if (findings.empty())
        return config;
    sortFindings(findings);
    return findings;
}

}
