// Loops over short writes, and turns errno into errors.
#include "transport/storage/File.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
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
        ::close(this->handle);
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

state::Error storageError(const char *step, const std::string &path, int errorNumber)
{
    std::string cause = std::generic_category().message(errorNumber);
    if (errorNumber == ENOSPC || errorNumber == EDQUOT)
        cause += "; free space there and start again: nothing more is acknowledged until then";
    return state::makeError(state::ErrorCode::StorageFailed, step, cause, path);
}

state::Result<std::string> readWholeFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string bytes{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream)
        return storageError("storage.read", path, EIO);
    return bytes;
}

state::Result<void> syncFolder(const FileHooks &hooks, const std::string &folder)
{
    BOOST_OUTCOME_TRY(File handle, File::open(hooks, folder, O_RDONLY | O_DIRECTORY));
    return handle.sync();
}

} // namespace lavenderthread::transport::storage
