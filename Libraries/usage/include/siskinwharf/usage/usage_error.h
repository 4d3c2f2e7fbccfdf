#pragma once

#include <stdexcept>

namespace siskinwharf::usage {

/// Stored counts cannot be read.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace siskinwharf::usage
