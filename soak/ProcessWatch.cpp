#include "ProcessWatch.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace lavenderthread::soak {

namespace {

constexpr std::uint64_t bytesPerKilobyte = 1'024;

// As /proc/net/tcp writes it.
std::string hexOf(const std::string &ip)
{
    in_addr address{};
    ::inet_pton(AF_INET, ip.c_str(), &address);
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08X:", address.s_addr);
    return text.data();
}

std::uint64_t bytesInSockets(const std::string &ip)
{
    const std::string wanted = hexOf(ip);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::uint64_t bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number, local, remote, state, queues;
        words >> number >> local >> remote >> state >> queues;
        const std::size_t colon = queues.find(':');
        constexpr const char *listens = "0A"; // its queues count connections
        if (!local.starts_with(wanted) || state == listens || colon == std::string::npos)
            continue;
        constexpr int hexadecimal = 16;
        bytes += std::stoull(queues.substr(0, colon), nullptr, hexadecimal)
                 + std::stoull(queues.substr(colon + 1), nullptr, hexadecimal);
    }
    return bytes;
}

} // namespace

ProcessUse useOf(pid_t process, const std::string &ip)
{
    ProcessUse use;
    const std::string folder = "/proc/" + std::to_string(process);
    std::ifstream status(folder + "/status");
    std::string word;
    while (status >> word) {
        std::uint64_t kilobytes = 0;
        if (word == "VmRSS:" && status >> kilobytes)
            use.residentBytes = kilobytes * bytesPerKilobyte;
        if (word == "VmHWM:" && status >> kilobytes)
            use.peakResidentBytes = kilobytes * bytesPerKilobyte;
    }
    if (use.residentBytes == 0)
        return use;
    std::error_code problem;
    const std::filesystem::directory_iterator files(folder + "/fd", problem);
    if (!problem)
        use.descriptors = std::uint64_t(std::distance(begin(files), end(files)));
    use.socketBytes = bytesInSockets(ip);
    return use;
}

} // namespace lavenderthread::soak
