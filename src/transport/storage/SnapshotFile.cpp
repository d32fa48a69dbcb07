// Layout: magic and format version, checksum of the rest, then cereal's portable binary.
#include "transport/storage/SnapshotFile.h"

#include "protocol/BoundedInputArchive.h"
#include "transport/storage/File.h"
#include "transport/storage/FolderNames.h"
#include "transport/storage/LogRecord.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <fcntl.h>

#include <cerrno>
#include <cstring>
#include <sstream>

namespace lavenderthread::transport::storage {

namespace {

constexpr std::string_view snapshotMagic = "LvSnap01";
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

std::string encodeSnapshot(const state::log::LogSnapshot &snapshot)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(snapshot);
    }
    return std::move(stream).str();
}

state::Error damaged(const std::string &path)
{
    return damageError("snapshot.read", path,
                       "the snapshot is damaged, and entries before it are no longer on this disk");
}

} // namespace

std::string snapshotPath(const std::string &folder, std::uint64_t index)
{
    return folder + "/" + numberedName(snapshotPrefix, index, snapshotSuffix);
}

state::Result<void> writeSnapshotFile(const FileHooks &hooks, const std::string &folder,
                                      const state::log::LogSnapshot &snapshot)
{
    const std::string path = snapshotPath(folder, snapshot.last.index);
    const std::string temporary = path + std::string(temporarySuffix);
    const std::string body = encodeSnapshot(snapshot);
    const std::uint64_t sum = checksum(body);
    std::string head(snapshotMagic);
    head.append(reinterpret_cast<const char *>(&sum), checksumBytes);
    BOOST_OUTCOME_TRY(File file, File::open(hooks, temporary, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_OUTCOME_TRYV(file.writeAll(head));
    BOOST_OUTCOME_TRYV(file.writeAll(body));
    BOOST_OUTCOME_TRYV(file.sync());
    if (hooks.rename(temporary, path) != 0)
        return storageError("storage.rename", path, errno);
    return syncFolder(hooks, folder);
}

state::Result<std::optional<state::log::LogSnapshot>> readNewestSnapshot(const FileHooks &hooks,
                                                                         const std::string &folder)
{
    BOOST_OUTCOME_TRY(const std::vector<std::string> names, listFolder(hooks, folder));
    const std::vector<std::uint64_t> found = numbersIn(names, snapshotPrefix, snapshotSuffix);
    if (found.empty())
        return std::nullopt;
    const std::string path = snapshotPath(folder, found.back());
    BOOST_OUTCOME_TRY(const std::string bytes, readWholeFile(hooks, path));
    const std::size_t headBytes = snapshotMagic.size() + checksumBytes;
    if (bytes.size() < headBytes || !bytes.starts_with(snapshotMagic))
        return damaged(path);
    std::uint64_t sum = 0;
    std::memcpy(&sum, bytes.data() + snapshotMagic.size(), checksumBytes);
    const std::string_view body = std::string_view(bytes).substr(headBytes);
    if (checksum(body) != sum)
        return damaged(path);
    try {
        protocol::BoundedInputArchive archive(body);
        state::log::LogSnapshot snapshot;
        archive(snapshot);
        return snapshot;
    } catch (const std::exception &) {
        return damaged(path);
    }
}

state::Result<void> removeOldSnapshots(const FileHooks &hooks, const std::string &folder,
                                       std::uint64_t index)
{
    BOOST_OUTCOME_TRY(const std::vector<std::string> names, listFolder(hooks, folder));
    for (const std::uint64_t each : numbersIn(names, snapshotPrefix, snapshotSuffix)) {
        if (each < index && hooks.unlink(snapshotPath(folder, each)) != 0)
            return storageError("storage.remove", snapshotPath(folder, each), errno);
    }
    return state::outcome::success();
}

} // namespace lavenderthread::transport::storage
