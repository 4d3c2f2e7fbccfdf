#pragma once

#include <stdexcept>

namespace siskinwharf::exchange {

/// A datagram is not a state message.
class exchange_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace siskinwharf::exchange
