// A file opened through FileHooks, closed with its owner; every failure names step, file and cause.
#pragma once

#include "state/Error.h"
#include "transport/storage/FileHooks.h"

#include <string>
#include <string_view>

namespace lavenderthread::transport::storage {

class File
{
public:
    File() = default;
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    File(const File &) = delete;
    File &operator=(const File &) = delete;
    ~File();

    // `hooks` has to outlive the file.
    static state::Result<File> open(const FileHooks &hooks, const std::string &path, int flags);

    state::Result<std::string> readAll(); // from the current position on
    state::Result<void> writeAll(std::string_view bytes);
    state::Result<void> syncData();
    state::Result<void> sync();
    state::Result<void> truncate(std::size_t size);
    int descriptor() const { return this->handle; }
    const std::string &path() const { return this->name; }

private:
    const FileHooks *hooks = nullptr;
    int handle = -1; // -1: not open
    std::string name;
};

// Error Corrupt: bytes that were synced fail their check; with advice for the operator.
state::Error damageError(const char *step, const std::string &path, const std::string &what);

// Error StorageFailed from errno, with advice for a full disk.
state::Error storageError(const char *step, const std::string &path, int errorNumber);

state::Result<std::string> readWholeFile(const FileHooks &hooks, const std::string &path);
// Makes created, renamed and removed names of the folder last.
state::Result<void> syncFolder(const FileHooks &hooks, const std::string &folder);
// Creates the folder and missing parents, durably.
state::Result<void> createFolder(const FileHooks &hooks, const std::string &folder);

} // namespace lavenderthread::transport::storage
