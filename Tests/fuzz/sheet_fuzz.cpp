#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/sheet_difference.h"
#include "siskinwharf/sheet/sheet_error.h"

namespace {

using namespace siskinwharf::sheet;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// A fault is shown on terminals and in logs, so it must not carry control characters.
void check_fault(const sheet_fault& fault)
{
    require(!fault.allowed.empty());
    for (const char character : fault.found)
        require(character >= ' ' && character <= '~');
}

} // namespace

/// A text is either a sheet that survives rendering or refused with printable faults in the order of lines.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    try {
        const sheet value = parse_sheet(text);
        const std::string canonical = render_sheet(value);
        require(parse_sheet(canonical) == value);
        require(render_sheet(value) == canonical);
        require(to_lines(compare_sheets(value, value)).empty());
    } catch (const sheet_error& error) {
        require(!error.faults().empty());
        require(std::is_sorted(
            error.faults().begin(), error.faults().end(),
            [](const sheet_fault& left, const sheet_fault& right) { return left.line < right.line; }));
        std::for_each(error.faults().begin(), error.faults().end(), check_fault);
    }
    return 0;
}
