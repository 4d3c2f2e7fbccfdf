// Fuzzes the decoding of peer frames: the outer checks on raw input, and the parser behind the authentication
// on the same input with a valid length, version and HMAC. What decodes must encode to the same message
// again.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "siskinwharf/base/digest.h"
#include "siskinwharf/peer/frame.h"

namespace {

using siskinwharf::instance_id;
namespace peer = siskinwharf::peer;

const std::string key(32, 'k');
const instance_id recipient("b");
constexpr std::size_t limit = 64UL * 1024;

void check(const std::string& bytes)
{
    const auto result = peer::decode(bytes, key, recipient, limit);
    const auto* decoded = std::get_if<peer::frame>(&result);
    if (decoded == nullptr)
        return;
    const auto again = peer::encode(*decoded, key, recipient, 2 * limit);
    const auto* encoded = std::get_if<std::string>(&again);
    if (encoded == nullptr)
        std::abort();
    const auto second = peer::decode(*encoded, key, recipient, 2 * limit);
    if (!std::holds_alternative<peer::frame>(second) || std::get<peer::frame>(second) != *decoded)
        std::abort();
}

} // namespace

// libFuzzer calls this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char*>(data), size);
    check(input);
    // The input without length, version and HMAC: message number, sender, sequence and body.
    const std::size_t length = 1 + size + 32;
    std::string frame;
    for (const unsigned shift : {24U, 16U, 8U, 0U})
        frame.push_back(static_cast<char>((length >> shift) & 0xFFU));
    frame.push_back(static_cast<char>(peer::frame_version));
    frame += input;
    frame += siskinwharf::hmac_sha256(key, frame + recipient.value());
    check(frame);
    return 0;
}
