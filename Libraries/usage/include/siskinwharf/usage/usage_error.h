#pragma once

#include <stdexcept>

namespace siskinwharf::usage {

/// Thrown when stored counts cannot be decoded.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace siskinwharf::usage
