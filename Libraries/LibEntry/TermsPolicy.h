#pragma once

#include <LibConfig/SiteConfig.h>
#include <LibState/StateImage.h>
#include <optional>
#include <string_view>
#include <variant>

namespace Bergamot {

/// Decides on renewals of client terms, which are the rate and concurrency limits of a client. A renewal is granted
/// only if the guaranteed concurrency of all clients fits the slots that remain with the largest zone out. Has no side
/// effects. Objects refer to the configuration and the state, and exist for one decision only.
class TermsPolicy {
public:
    struct Grant {
        TermsRenewed record {};
        bool isReduced { false };
    };
    struct Rejection {
        std::string_view type {};
        std::string_view title {};
        ClientTerms requested {};
        ClientTerms largestThatFits {};
    };

    TermsPolicy(const SiteConfig& config, const StateImage& image)
        : m_config(config)
        , m_image(image)
    {
    }

    std::variant<Grant, Rejection> renew(const ClientConfig&, uint64_t renewal) const;

    ClientTerms currentTerms(const ClientConfig&) const;
    std::optional<ClientTerms> nextTerms(const ClientConfig&) const;
    uint32_t renewalCount(const ClientConfig&) const;

    int64_t totalSlots() const;
    int64_t slotsWithLargestZoneOut() const;
    int64_t guaranteedConcurrency() const;

private:
    const SiteConfig& m_config;
    const StateImage& m_image;
};

}
