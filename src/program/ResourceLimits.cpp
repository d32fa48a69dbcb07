#include "program/ResourceLimits.h"

#include <sys/resource.h>

#include <algorithm>

namespace lavenderthread::program {

namespace {

constexpr std::uint64_t mebibyte = 1U << 20U;
constexpr std::uint64_t tenths = 10;
constexpr std::uint64_t tenthsForOutsiders = 7; // of the memory
constexpr std::uint64_t tenthsForAnswers = 4;   // of what connections leave of it
constexpr std::uint64_t leastCountedBytes = 32 * mebibyte;
constexpr std::uint64_t connectionsPerMb = 11;
// Peers, control members, probes, files; then each connection may need another one to an endpoint.
constexpr std::uint64_t ownDescriptors = 80;
constexpr std::uint64_t ownDescriptorShare = 10; // one in so many, beside that
constexpr std::uint64_t leastConnections = 16;
// Answers up to this size are kept whatever others hold.
constexpr std::size_t uncountedAnswerBytes = 16U << 10U;

} // namespace

ResourceLimits ResourceLimits::of(std::uint64_t memoryMb, std::uint64_t descriptors)
{
    ResourceLimits limits;
    const std::uint64_t own = ownDescriptors + descriptors / ownDescriptorShare;
    const std::uint64_t byDescriptors = (descriptors - std::min(descriptors, own)) / 2;
    limits.connections.connections =
            std::max(std::min(byDescriptors, memoryMb * connectionsPerMb), leastConnections);
    limits.answers.uncounted = uncountedAnswerBytes;
    const std::uint64_t forOutsiders = memoryMb * mebibyte / tenths * tenthsForOutsiders;
    const std::uint64_t uncounted = limits.connections.connections
                                    * (limits.connections.uncounted + limits.answers.uncounted);
    const std::uint64_t counted =
            std::max(forOutsiders - std::min(forOutsiders, uncounted), leastCountedBytes);
    limits.answers.maximumCounted =
            std::max(counted / tenths * tenthsForAnswers, limits.answers.maximumAnswer);
    limits.connections.bytes = counted - limits.answers.maximumCounted;
    return limits;
}

ResourceLimits ResourceLimits::of(const Settings &settings)
{
    std::uint64_t descriptors = settings.descriptors;
    rlimit system{};
    if (descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &system) == 0)
        descriptors = system.rlim_cur;
    return ResourceLimits::of(settings.memoryMb, descriptors);
}

} // namespace lavenderthread::program
