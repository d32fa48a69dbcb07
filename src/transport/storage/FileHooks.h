// The file operations that the durable log is built on, as replaceable functions: tests bring about
// short writes, full disks, failing syncs and crashes between a write and its sync.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <string>

namespace lavenderthread::transport::storage {

// Each behaves as its POSIX namesake: -1 and errno on failure, writes may be short.
struct FileHooks
{
    std::function<int(const std::string &path, int flags)> open; // new files get mode 0600
    std::function<ssize_t(int descriptor, const char *bytes, std::size_t size)> write;
    std::function<int(int descriptor)> syncData; // fdatasync
    std::function<int(int descriptor)> sync;     // fsync, also of folders
    std::function<int(const std::string &from, const std::string &to)> rename;
    std::function<int(const std::string &path)> unlink;
    std::function<int(int descriptor, off_t size)> truncate;

    static FileHooks system();
};

} // namespace lavenderthread::transport::storage
