#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibState/StateImage.h>
#include <optional>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Decides on renewals of client terms: a renewal is granted only while the guaranteed concurrency of all clients fits
/// the slots that remain with the largest zone out. Pure; holds references only during one decision.
class TermsPolicy {
public:
    struct Grant {
        TermsRenewed record {};
        bool reduced { false };
    };
    struct Refusal {
        std::string_view type {};
        std::string_view title {};
        ClientTerms requested {};
        ClientTerms largest {};
    };

    TermsPolicy(const SiteConfig& config, const StateImage& image)
        : m_config(config)
        , m_image(image)
    {
    }

    std::variant<Grant, Refusal> renew(const ClientConfig&, uint64_t renewal) const;

    ClientTerms current(const ClientConfig&) const;
    std::optional<ClientTerms> nextTerms(const ClientConfig&) const;
    uint32_t renewalsMade(const ClientConfig&) const;

    int64_t totalSlots() const;
    int64_t slotsWithLargestZoneOut() const;
    int64_t guaranteedConcurrency() const;

private:
    const SiteConfig& m_config;
    const StateImage& m_image;
};

}
