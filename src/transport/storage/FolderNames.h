// Names of the files in the data folder.
#pragma once

#include "state/Error.h"
#include "transport/storage/FileHooks.h"

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
// All names in the folder. Error StorageFailed.
state::Result<std::vector<std::string>> listFolder(const FileHooks &hooks,
                                                   const std::string &folder);
// Numbers of the names of that form, ascending; other names are passed over.
std::vector<std::uint64_t> numbersIn(const std::vector<std::string> &names, std::string_view prefix,
                                     std::string_view suffix);

} // namespace lavenderthread::transport::storage
