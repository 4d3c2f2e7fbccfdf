#pragma once

#include "siskinwharf/cloud/http_platform.h"
#include "siskinwharf/settings/settings.h"

namespace siskinwharf::entry {

/// Where the platform is, and as whom this process asks.
[[nodiscard]] inline cloud::platform_access platform_access_of(const settings::settings& settings)
{
    return {{settings.platform.ip, settings.platform.port}, settings.instance.value()};
}

} // namespace siskinwharf::entry
