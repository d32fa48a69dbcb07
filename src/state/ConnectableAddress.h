// Which addresses a connection can be tried to. Address::parse() checks the overall form only.
#pragma once

#include "state/Address.h"

namespace lavenderthread::state {

// Whether it has an IP number, and a port that isn't 0.
bool isConnectable(const Address &address);

} // namespace lavenderthread::state
