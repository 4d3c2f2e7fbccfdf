#include "siskinwharf/claims/claim_identity.h"

#include "siskinwharf/base/digest.h"

namespace siskinwharf::claims {

std::string claim_row_key(const claim_identity& identity)
{
    return "claim/" + identity.account.value() + "/" + sha256_hex(identity.key);
}

} // namespace siskinwharf::claims
