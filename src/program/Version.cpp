// The version is raised by hand with each release.
#include "program/Version.h"

namespace lavenderthread::program {

std::string_view version()
{
    return "0.1.0";
}

} // namespace lavenderthread::program
