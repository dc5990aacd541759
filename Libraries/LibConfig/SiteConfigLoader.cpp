#include <LibConfig/CheckedTree.h>
#include <LibConfig/OverlayMerge.h>
#include <LibConfig/SiteConfigLoader.h>
#include <LibConfig/SiteConfigTree.h>
#include <LibConfig/SiteReferences.h>
#include <LibConfig/TomlReader.h>

namespace Bergamot {

SiteConfigResult loadSite(const SiteFiles& files)
{
    Findings findings;
    auto base = readToml(files.baseText, files.baseFile, findings);
    auto overlay = readToml(files.overlayText, files.overlayFile, findings);
    auto baseChecked = checkTree(siteSchema(), base, findings);
    auto overlayChecked = checkTree(siteSchema(), overlay, findings);
    auto merged = mergeOverlay(base, baseChecked, overlay, overlayChecked, findings);
    applyDefaults(siteSchema(), merged, base, findings);

    ReferenceContext context { .unusable = merged.invalid,
        .makeFinding = [&](std::string_view path, std::string message) {
            const auto& source = overlay.lines.contains(path) ? overlay : base;
            return source.makeFinding(path, std::move(message));
        } };
    auto config = siteFromTree(merged.values, context.disabled);
    // With syntax errors, references to entries in a part that was not parsed would be reported as unknown.
    if (base.isComplete && overlay.isComplete) {
        auto references = checkReferences(config, context);
        findings.insert(findings.end(), references.begin(), references.end());
    }
    if (findings.empty())
        return config;
    sortFindings(findings);
    return findings;
}

}
