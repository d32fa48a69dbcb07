// Entry point of the one binary.
#include "program/Version.h"

#include <iostream>

int main()
{
    std::cout << lavenderthread::program::version() << '\n';
    return 0;
}
