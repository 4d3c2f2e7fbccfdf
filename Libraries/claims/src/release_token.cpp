#include "siskinwharf/claims/release_token.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <optional>

#include "siskinwharf/base/digest.h"

namespace siskinwharf::claims {

namespace {

// Version of the format of a part. A token is a comma-separated list of parts, one for each released attempt.
constexpr std::string_view part_prefix = "v1:";

/// The HMAC in hexadecimal digits which states that the attempt is released for this call.
std::string signature(std::string_view signing_key, const claim_identity& identity, attempt_number attempt)
{
    // The row key ends with a digest of fixed length, so the concatenated text is unambiguous.
    return to_hex(
        hmac_sha256(signing_key, "release/v1/" + claim_row_key(identity) + "/" + std::to_string(attempt)));
}

/// Returns the attempt of a part `v1:<attempt>:<HMAC>`, or nothing if the part is malformed or its signature
/// is wrong.
std::optional<attempt_number> verify_part(std::string_view signing_key, const claim_identity& identity,
                                          std::string_view part)
{
    if (!part.starts_with(part_prefix))
        return std::nullopt;
    part.remove_prefix(part_prefix.size());
    attempt_number attempt = 0;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), attempt);
    if (error != std::errc{} || end == part.data() + part.size() || *end != ':')
        return std::nullopt;
    part.remove_prefix(static_cast<std::size_t>(end - part.data()) + 1);
    if (!equal_constant_time(part, signature(signing_key, identity, attempt)))
        return std::nullopt;
    return attempt;
}

} // namespace

std::string sign_release(std::string_view signing_key, const claim_identity& identity,
                         const std::set<attempt_number>& attempts, const std::set<attempt_number>& required)
{
    std::set<attempt_number> included;
    std::set_intersection(attempts.begin(), attempts.end(), required.begin(), required.end(),
                          std::inserter(included, included.end()));
    // The required attempts take precedence; the others fill the rest of the token.
    for (auto next = attempts.begin(); next != attempts.end() && included.size() < maximum_released_attempts;
         ++next)
        included.insert(*next);
    std::string token;
    for (const attempt_number attempt : included) {
        if (!token.empty())
            token.push_back(',');
        token.append(part_prefix)
            .append(std::to_string(attempt))
            .append(":")
            .append(signature(signing_key, identity, attempt));
    }
    return token;
}

std::set<attempt_number> verify_release(std::string_view signing_key, const claim_identity& identity,
                                        std::string_view token)
{
    std::set<attempt_number> attempts;
    for (std::size_t parts = 0; parts < maximum_released_attempts && !token.empty(); ++parts) {
        const std::size_t comma = token.find(',');
        std::string_view part = token.substr(0, comma);
        token.remove_prefix(comma == std::string_view::npos ? token.size() : comma + 1);
        while (part.starts_with(' '))
            part.remove_prefix(1);
        while (part.ends_with(' '))
            part.remove_suffix(1);
        if (const auto attempt = verify_part(signing_key, identity, part))
            attempts.insert(*attempt);
    }
    return attempts;
}

} // namespace siskinwharf::claims
