// The real file operations.
#include "transport/storage/FileHooks.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace lavenderthread::transport::storage {

FileHooks FileHooks::system()
{
    constexpr mode_t ownerOnly = 0600; // the state holds hashes of callers' keys and answers
    FileHooks hooks;
    hooks.open = [](const std::string &path, int flags) {
        return ::open(path.c_str(), flags | O_CLOEXEC, ownerOnly);
    };
    hooks.write = [](int descriptor, const char *bytes, std::size_t size) {
        return ::write(descriptor, bytes, size);
    };
    hooks.syncData = [](int descriptor) { return ::fdatasync(descriptor); };
    hooks.sync = [](int descriptor) { return ::fsync(descriptor); };
    hooks.rename = [](const std::string &from, const std::string &to) {
        return std::rename(from.c_str(), to.c_str());
    };
    hooks.unlink = [](const std::string &path) { return ::unlink(path.c_str()); };
    hooks.truncate = [](int descriptor, off_t size) { return ::ftruncate(descriptor, size); };
    return hooks;
}

} // namespace lavenderthread::transport::storage
