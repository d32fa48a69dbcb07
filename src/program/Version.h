// The version that `lavenderthread --version` prints.
#pragma once

#include <string_view>

namespace lavenderthread::program {

std::string_view version();

} // namespace lavenderthread::program
