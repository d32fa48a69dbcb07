// The one place where the compiled parts of Boost.Asio and Boost.Beast are built, so that every
// other file includes declarations only.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
