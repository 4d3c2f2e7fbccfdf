#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "siskinwharf/settings/settings.h"
#include "siskinwharf/settings/settings_error.h"

namespace {

using namespace siskinwharf::settings;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace

/// A text is either refused with faults or yields settings whose addresses and key are usable.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    try {
        const settings value = load_settings({reinterpret_cast<const char*>(data), size});
        require(value.peer_key.size() == 32);
        require(value.recomputed_token_weight >= 0 && value.recomputed_token_weight <= 1);
        for (const socket_address& address : {value.listen.callers, value.listen.peers, value.platform})
            require(parse_socket_address(to_string(address)) == address);
    } catch (const settings_error& error) {
        require(!error.faults().empty());
        for (const settings_fault& fault : error.faults()) {
            require(!fault.allowed.empty());
            for (const char character : fault.key + fault.found)
                require(character >= ' ' && character <= '~');
        }
    }
    return 0;
}
