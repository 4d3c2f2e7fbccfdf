#pragma once

#include <string>

#include "siskinwharf/base/identifier.h"

namespace siskinwharf::entry {

/// Name of a request among entry processes and at engines: `<account>:<request id>`. The account is part of
/// it, so that one account cannot resume the answer of another.
[[nodiscard]] inline std::string request_key(const account_id& account, const request_id& id)
{
    return account.value() + ":" + id.value();
}

} // namespace siskinwharf::entry
