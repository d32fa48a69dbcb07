// All file operations that the durable log is built on, as replaceable functions: tests bring about
// short writes, full disks, failing syncs, and losses of power between an operation and its sync.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace lavenderthread::transport::storage {

// Each behaves as its POSIX namesake: -1 and errno on failure, writes may be short.
struct FileHooks
{
    std::function<int(const std::string &path, int flags)> open; // new files get mode 0600
    std::function<int(int descriptor)> close;
    std::function<int(int descriptor)> lock; // flock, exclusive, without waiting
    std::function<ssize_t(int descriptor, char *bytes, std::size_t size)> read;
    std::function<ssize_t(int descriptor, const char *bytes, std::size_t size)> write;
    std::function<int(int descriptor)> syncData; // fdatasync
    std::function<int(int descriptor)> sync;     // fsync, also of folders
    std::function<int(const std::string &from, const std::string &to)> rename;
    std::function<int(const std::string &path)> unlink;
    std::function<int(int descriptor, off_t size)> truncate;
    std::function<int(const std::string &path)> makeFolder; // mkdir, mode 0700
    // Appends the names in the folder, in any order.
    std::function<int(const std::string &folder, std::vector<std::string> &names)> list;

    static FileHooks system();
};

} // namespace lavenderthread::transport::storage
