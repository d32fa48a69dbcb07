// Parses JSON that comes from outside. The tree of a text can take fifty times its bytes.
#pragma once

#include <boost/json/value.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <string_view>

namespace lavenderthread::state {

// Of a tree and of what the parser needs while it is built.
constexpr std::size_t maximumJsonBytes = 32U << 20U;

// `problem` is set if the text is not JSON, or if its tree takes more than `maximumBytes`.
boost::json::value parseJson(std::string_view text, boost::system::error_code &problem,
                             std::size_t maximumBytes = maximumJsonBytes);

} // namespace lavenderthread::state
