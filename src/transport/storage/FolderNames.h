// Names of the files in the data folder.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::transport::storage {

constexpr std::string_view segmentPrefix = "segment-";
constexpr std::string_view segmentSuffix = ".log";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view snapshotSuffix = ".snap";
constexpr std::string_view temporarySuffix = ".tmp";
constexpr std::string_view lockName = "lock";

// "segment-00000000000000000007.log"
std::string numberedName(std::string_view prefix, std::uint64_t number, std::string_view suffix);
// Numbers of the files of that form, ascending; other files are passed over.
std::vector<std::uint64_t> listNumbers(const std::string &folder, std::string_view prefix,
                                       std::string_view suffix);
std::vector<std::string> // paths
listTemporaryFiles(const std::string &folder);

} // namespace lavenderthread::transport::storage
