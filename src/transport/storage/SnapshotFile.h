// Snapshots as files: written under a temporary name, synced, renamed, and the folder synced, so
// that a crash leaves the old snapshot or the new one, never half of one.
#pragma once

#include "state/Error.h"
#include "state/log/LogEntry.h"
#include "transport/storage/FileHooks.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lavenderthread::transport::storage {

std::string snapshotPath(const std::string &folder, std::uint64_t index);

// Durable once it returns. May run on another thread than the log's writer.
state::Result<void> writeSnapshotFile(const FileHooks &hooks, const std::string &folder,
                                      const state::log::LogSnapshot &snapshot);

// The newest one; nothing if there is none. Error Corrupt if it does not check out: an older one
// would lack entries that were dropped since.
state::Result<std::optional<state::log::LogSnapshot>> readNewestSnapshot(const FileHooks &hooks,
                                                                         const std::string &folder);

// Removes every snapshot below `index`.
state::Result<void> removeOldSnapshots(const FileHooks &hooks, const std::string &folder,
                                       std::uint64_t index);

} // namespace lavenderthread::transport::storage
