#include <LibConfig/OverlayMerge.h>
#include <fmt/format.h>

namespace Bergamot {

namespace {

    using Json = nlohmann::json;

    class OverlayMerger {
    public:
        OverlayMerger(const SourceTree& base, const SourceTree& overlay, Findings& findings)
            : m_base(base)
            , m_overlay(overlay)
            , m_findings(findings)
        {
        }

        /// `baseRaw` and `overlayRaw` are the tables as parsed, including keys with invalid values. `values` holds the
        /// valid values of the overlay.
        void merge(
            Json& merged, const Json& baseRaw, const Json& overlayRaw, const Json& values, const std::string& path)
        {
            for (const auto& [key, value] : values.items()) {
                auto keyPath = joinPath(path, key);
                if (!baseRaw.is_object() || !baseRaw.contains(key)) {
                    // With syntax errors in the base, the key may be in a part that was not parsed.
                    if (m_base.isComplete)
                        add(keyPath,
                            fmt::format("{} lacks this key, and an overlay may only change keys of the base",
                                m_base.file.empty() ? "the base" : m_base.file));
                    continue;
                }
                if (value.is_object())
                    mergeTable(merged, baseRaw[key], overlayRaw[key], value, key, keyPath);
                else
                    mergeValue(merged, value, key, keyPath);
            }
        }

    private:
        void mergeTable(Json& merged, const Json& baseRaw, const Json& overlayRaw, const Json& values,
            const std::string& key, const std::string& path)
        {
            if (overlayRaw.empty()) {
                add(path, "changes nothing: the table is empty; remove it");
                return;
            }
            auto& table = merged[key];
            if (!table.is_object())
                table = Json::object();
            merge(table, baseRaw, overlayRaw, values, path);
        }

        void mergeValue(Json& merged, const Json& value, const std::string& key, const std::string& path)
        {
            if (merged.contains(key) && merged[key] == value) {
                add(path, "changes nothing: the base has the same value; remove it");
                return;
            }
            merged[key] = value;
        }

        void add(std::string_view path, std::string message)
        {
            m_findings.push_back(m_overlay.makeFinding(path, std::move(message)));
        }

        const SourceTree& m_base;
        const SourceTree& m_overlay;
        Findings& m_findings;
    };

}

CheckedTree mergeOverlay(const SourceTree& baseSource, const CheckedTree& base, const SourceTree& overlaySource,
    const CheckedTree& overlay, Findings& findings)
{
    auto merged = base;
    OverlayMerger merger(baseSource, overlaySource, findings);
    merger.merge(merged.values, baseSource.root, overlaySource.root, overlay.values, {});
    merged.invalid.insert(overlay.invalid.begin(), overlay.invalid.end());
    return merged;
}

}
