// Loops over short writes, and turns errno into errors.
#include "transport/storage/File.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace lavenderthread::transport::storage {

File::File(File &&other) noexcept
    : hooks(other.hooks)
    , handle(std::exchange(other.handle, -1))
    , name(std::move(other.name))
{}

File &File::operator=(File &&other) noexcept
{
    std::swap(this->hooks, other.hooks);
    std::swap(this->handle, other.handle);
    std::swap(this->name, other.name);
    return *this;
}

File::~File()
{
    if (this->handle >= 0)
        this->hooks->close(this->handle);
}

state::Result<File> File::open(const FileHooks &hooks, const std::string &path, int flags)
{
    const int handle = hooks.open(path, flags);
    if (handle < 0)
        return storageError("storage.open", path, errno);
    File file;
    file.hooks = &hooks;
    file.handle = handle;
    file.name = path;
    return file;
}

state::Result<void> File::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = this->hooks->write(this->handle, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return storageError("storage.write", this->name, written < 0 ? errno : EIO);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return state::outcome::success();
}

state::Result<std::string> File::readAll()
{
    constexpr std::size_t pieceBytes = 64U << 10U;
    std::string bytes;
    while (true) {
        const std::size_t before = bytes.size();
        bytes.resize(before + pieceBytes);
        const ssize_t got = this->hooks->read(this->handle, bytes.data() + before, pieceBytes);
        bytes.resize(before + static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got < 0 && errno == EINTR)
            continue;
        if (got < 0)
            return storageError("storage.read", this->name, errno);
        if (got == 0)
            return bytes;
    }
}

state::Result<void> File::syncData()
{
    if (this->hooks->syncData(this->handle) != 0)
        return storageError("storage.sync", this->name, errno);
    return state::outcome::success();
}

state::Result<void> File::sync()
{
    if (this->hooks->sync(this->handle) != 0)
        return storageError("storage.sync", this->name, errno);
    return state::outcome::success();
}

state::Result<void> File::truncate(std::size_t size)
{
    if (this->hooks->truncate(this->handle, static_cast<off_t>(size)) != 0)
        return storageError("storage.truncate", this->name, errno);
    return state::outcome::success();
}

state::Error damageError(const char *step, const std::string &path, const std::string &what)
{
    constexpr std::string_view advice =
            ". Acknowledged changes may be lost here, so this member does not start. Keep a copy "
            "of the folder. If most other control members run, empty it and start again: the "
            "member "
            "joins under a new identity and copies the state from them. If not, empty no folder: "
            "they may hold the only copy of a change";
    return state::makeError(state::ErrorCode::Corrupt, step, what + std::string(advice), path);
}

state::Error storageError(const char *step, const std::string &path, int errorNumber)
{
    std::string cause = std::generic_category().message(errorNumber);
    if (errorNumber == ENOSPC || errorNumber == EDQUOT)
        cause += "; free space there and start again: nothing more is acknowledged until then";
    return state::makeError(state::ErrorCode::StorageFailed, step, cause, path);
}

state::Result<std::string> readWholeFile(const FileHooks &hooks, const std::string &path)
{
    BOOST_OUTCOME_TRY(File file, File::open(hooks, path, O_RDONLY));
    return file.readAll();
}

state::Result<void> syncFolder(const FileHooks &hooks, const std::string &folder)
{
    BOOST_OUTCOME_TRY(File handle, File::open(hooks, folder, O_RDONLY | O_DIRECTORY));
    return handle.sync();
}

state::Result<void> createFolder(const FileHooks &hooks, const std::string &folder)
{
    if (File::open(hooks, folder, O_RDONLY | O_DIRECTORY))
        return state::outcome::success();
    std::filesystem::path parent = std::filesystem::absolute(folder).lexically_normal();
    if (!parent.has_filename())
        parent = parent.parent_path(); // the path ended in a slash
    parent = parent.parent_path();
    BOOST_OUTCOME_TRYV(createFolder(hooks, parent.string()));
    if (hooks.makeFolder(folder) != 0 && errno != EEXIST)
        return storageError("storage.create", folder, errno);
    return syncFolder(hooks, parent.string());
}

} // namespace lavenderthread::transport::storage
