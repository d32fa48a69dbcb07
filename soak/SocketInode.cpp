#include "SocketInode.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

namespace lavenderthread::soak {

namespace {

struct Query
{
    nlmsghdr header{};
    inet_diag_req_v2 body{};
};

std::uint32_t toNetworkOrder(const state::Address &address)
{
    in_addr ip{};
    ::inet_pton(AF_INET, address.ip.c_str(), &ip);
    return ip.s_addr;
}

Query queryFor(const state::Address &local, const state::Address &remote)
{
    Query query;
    query.header.nlmsg_len = sizeof(Query);
    query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.header.nlmsg_flags = NLM_F_REQUEST;
    query.body.sdiag_family = AF_INET;
    query.body.sdiag_protocol = IPPROTO_TCP;
    query.body.idiag_states = ~0U;
    inet_diag_sockid &id = query.body.id;
    id.idiag_sport = htons(local.port);
    id.idiag_dport = htons(remote.port);
    id.idiag_src[0] = toNetworkOrder(local);
    id.idiag_dst[0] = toNetworkOrder(remote);
    id.idiag_cookie[0] = id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    return query;
}

} // namespace

std::optional<std::uint32_t> inodeOfSocket(const state::Address &local,
                                           const state::Address &remote)
{
    static const int netlink = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    const Query query = queryFor(local, remote);
    if (::send(netlink, &query, sizeof(query), 0) != ssize_t(sizeof(query)))
        return std::nullopt;
    constexpr std::size_t replyBytes = 4'096;
    std::array<char, replyBytes> reply{};
    const ssize_t size = ::recv(netlink, reply.data(), reply.size(), 0);
    nlmsghdr header{};
    inet_diag_msg found{};
    if (size < ssize_t(NLMSG_LENGTH(sizeof(found))))
        return std::nullopt;
    std::memcpy(&header, reply.data(), sizeof(header));
    if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return std::nullopt;
    std::memcpy(&found, reply.data() + NLMSG_HDRLEN, sizeof(found));
    return found.idiag_inode;
}

} // namespace lavenderthread::soak
