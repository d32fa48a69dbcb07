#include "state/ConnectableAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>

namespace lavenderthread::state {

bool isConnectable(const Address &address)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const bool isIp = ::inet_pton(AF_INET, address.ip.c_str(), bytes.data()) == 1
                      || ::inet_pton(AF_INET6, address.ip.c_str(), bytes.data()) == 1;
    return isIp && address.port != 0;
}

} // namespace lavenderthread::state
