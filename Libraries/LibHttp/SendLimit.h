#pragma once

namespace Bergamot {

/// How often a request may be sent. When a reused connection is closed without an answer, libcurl would send the
/// request again, although the server may have carried it out, and only the answer to the repeat would be seen. There
/// is no default, so that each kind of call states its limit.
class SendLimit {
public:
    /// The call fails with Unavailable where libcurl would repeat it. For a call whose repeat has an effect of its own,
    /// or whose refusal is taken to mean that nothing was done. A server that closes idle connections fails some calls.
    static constexpr SendLimit once() { return SendLimit(true); }

    /// For a call that changes nothing, or whose repeat has the same effect and whose refusal decides nothing.
    static constexpr SendLimit unlimited() { return SendLimit(false); }

    constexpr bool isOnce() const { return m_isOnce; }
    bool operator==(const SendLimit&) const = default;

private:
    explicit constexpr SendLimit(bool isOnce)
        : m_isOnce(isOnce)
    {
    }

    bool m_isOnce;
};

}
