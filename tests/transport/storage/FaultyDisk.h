// A disk for tests, between the log and real files: it can lose what was not synced, cut a write
// short, fill up, and fail a sync.
#pragma once

#include "transport/storage/FileHooks.h"

#include <cerrno>
#include <cstddef>
#include <filesystem>
#include <map>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace lavenderthread::transport::storage {

class FaultyDisk
{
public:
    std::size_t writesLeft = 1U << 30U; // write() calls that work; the next one is cut in half
    std::size_t bytesLeft = 1U << 30U;  // then the disk is full
    std::size_t syncsLeft = 1U << 30U;  // then every sync fails
    bool skipSyncs = false;             // mutation: says "synced" without doing so

    FileHooks hooks()
    {
        FileHooks hooks = FileHooks::system();
        const FileHooks real = hooks;
        hooks.open = [this, real](const std::string &path, int flags) {
            const int handle = real.open(path, flags);
            if ((flags & O_ACCMODE) != O_RDONLY || (flags & O_DIRECTORY) != 0)
                this->paths[handle] = path;
            return handle;
        };
        hooks.write = [this, real](int handle, const char *bytes, std::size_t size) -> ssize_t {
            if (this->writesLeft == 0 || size > this->bytesLeft) {
                errno = ENOSPC;
                return -1;
            }
            if (--this->writesLeft == 0)
                size = (size + 1) / 2;
            this->bytesLeft -= size;
            return real.write(handle, bytes, size);
        };
        const auto sync = [this](auto doIt) {
            return [this, doIt](int handle) {
                if (this->syncsLeft == 0) {
                    errno = EIO;
                    return -1;
                }
                --this->syncsLeft;
                if (!this->skipSyncs)
                    this->noteSynced(handle);
                return doIt(handle);
            };
        };
        hooks.syncData = sync([](int) { return 0; }); // the test process itself never crashes
        hooks.sync = hooks.syncData;
        return hooks;
    }

    // What a power failure leaves: of every file that was written, the synced part and `extra`
    // bytes of the rest.
    void crash(std::size_t extra)
    {
        for (const auto &[handle, path] : this->paths) {
            std::error_code problem;
            const std::uintmax_t size = std::filesystem::file_size(path, problem);
            if (problem || !std::filesystem::is_regular_file(path))
                continue;
            const std::uintmax_t kept = this->synced[path] + extra;
            if (kept < size)
                std::filesystem::resize_file(path, kept);
        }
    }

private:
    void noteSynced(int handle)
    {
        std::error_code problem;
        const std::string &path = this->paths[handle];
        const std::uintmax_t size = std::filesystem::file_size(path, problem);
        this->synced[path] = problem ? 0 : size;
    }

    std::map<int, std::string> paths; // of each descriptor, the latest
    std::map<std::string, std::uintmax_t> synced;
};

} // namespace lavenderthread::transport::storage
