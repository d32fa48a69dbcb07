// The real file operations.
#include "transport/storage/FileHooks.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>

namespace lavenderthread::transport::storage {

namespace {

int listFolder(const std::string &folder, std::vector<std::string> &names)
{
    std::error_code problem;
    auto file = std::filesystem::directory_iterator(folder, problem);
    const std::filesystem::directory_iterator end;
    for (; !problem && file != end; file.increment(problem))
        names.push_back(file->path().filename().string());
    if (!problem)
        return 0;
    errno = problem.value();
    return -1;
}

} // namespace

FileHooks FileHooks::system()
{
    constexpr mode_t ownerOnly = 0600; // the state holds hashes of callers' keys and answers
    constexpr mode_t ownerOnlyFolder = 0700;
    FileHooks hooks;
    hooks.open = [](const std::string &path, int flags) {
        return ::open(path.c_str(), flags | O_CLOEXEC, ownerOnly);
    };
    hooks.close = [](int descriptor) { return ::close(descriptor); };
    hooks.lock = [](int descriptor) { return ::flock(descriptor, LOCK_EX | LOCK_NB); };
    hooks.read = [](int descriptor, char *bytes, std::size_t size) {
        return ::read(descriptor, bytes, size);
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
    hooks.makeFolder = [](const std::string &path) {
        return ::mkdir(path.c_str(), ownerOnlyFolder);
    };
    hooks.list = listFolder;
    return hooks;
}

} // namespace lavenderthread::transport::storage
