// Header: magic, body length, record number, synced-through, checksum over all the rest; numbers
// little-endian. Body: cereal's portable binary.
#include "transport/storage/LogRecord.h"

#include "protocol/BoundedInputArchive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <sstream>

namespace lavenderthread::transport::storage {

namespace {

constexpr std::uint32_t recordMagic = 0x4352764CU; // "LvRC"

struct Header
{
    std::uint32_t magic = recordMagic;
    std::uint32_t bodyBytes = 0;
    std::uint64_t number = 0;
    std::uint64_t syncedThrough = 0;
    std::uint64_t checksum = 0; // over the header up to here and the body
};
static_assert(sizeof(Header) == recordHeaderBytes);

std::uint64_t checksumOf(const Header &header, std::string_view body)
{
    const std::string_view fields(reinterpret_cast<const char *>(&header),
                                  offsetof(Header, checksum));
    return XXH3_64bits_withSeed(body.data(), body.size(), checksum(fields));
}

struct ParsedRecord
{
    LogRecord record;
    std::size_t bytes = 0;
};

std::optional<ParsedRecord> parseRecord(std::string_view bytes)
{
    Header header;
    if (bytes.size() < sizeof header)
        return std::nullopt;
    std::memcpy(&header, bytes.data(), sizeof header);
    const std::string_view rest = bytes.substr(sizeof header);
    if (header.magic != recordMagic || header.bodyBytes > rest.size())
        return std::nullopt;
    const std::string_view body = rest.substr(0, header.bodyBytes);
    if (checksumOf(header, body) != header.checksum)
        return std::nullopt;
    try {
        protocol::BoundedInputArchive archive(body);
        LogRecord record{header.number, header.syncedThrough, {}};
        archive(record.body);
        return ParsedRecord{std::move(record), sizeof header + body.size()};
    } catch (const std::exception &) {
        return std::nullopt; // checksum right, body of an unknown kind: not ours
    }
}

// Behind the first bad byte nothing has a known place, so every offset is tried.
std::uint64_t syncedThroughBehind(std::string_view bytes)
{
    std::uint64_t greatest = 0;
    const std::string_view magic(reinterpret_cast<const char *>(&recordMagic), sizeof recordMagic);
    for (std::size_t place = bytes.find(magic); place != std::string_view::npos;
         place = bytes.find(magic, place + 1)) {
        if (const auto parsed = parseRecord(bytes.substr(place)))
            greatest = std::max(greatest, parsed->record.syncedThrough);
    }
    return greatest;
}

} // namespace

std::uint64_t checksum(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

void appendRecord(std::string &buffer, const LogRecord &record)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(record.body);
    }
    const std::string_view body = stream.view();
    Header header;
    header.bodyBytes = static_cast<std::uint32_t>(body.size());
    header.number = record.number;
    header.syncedThrough = record.syncedThrough;
    header.checksum = checksumOf(header, body);
    buffer.append(reinterpret_cast<const char *>(&header), sizeof header).append(body);
}

SegmentScan scanSegment(std::string_view bytes)
{
    SegmentScan scan;
    while (scan.goodBytes < bytes.size()) {
        auto parsed = parseRecord(bytes.substr(scan.goodBytes));
        const bool inOrder = parsed
                             && (scan.records.empty()
                                 || parsed->record.number == scan.records.back().number + 1);
        if (!inOrder)
            break;
        scan.goodBytes += parsed->bytes;
        scan.syncedThrough = std::max(scan.syncedThrough, parsed->record.syncedThrough);
        scan.records.push_back(std::move(parsed->record));
    }
    scan.whole = scan.goodBytes == bytes.size();
    if (!scan.whole)
        scan.syncedThrough =
                std::max(scan.syncedThrough, syncedThroughBehind(bytes.substr(scan.goodBytes)));
    return scan;
}

} // namespace lavenderthread::transport::storage
