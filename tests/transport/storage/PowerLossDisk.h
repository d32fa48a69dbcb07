// A disk in memory that loses power before a chosen operation. Unsynced changes survive in every
// allowed combination: of a file's writes all, all but half of the last one, all but the first one,
// or none; of each name any state that it had since its folder was synced.
#pragma once

#include "transport/storage/FileHooks.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lavenderthread::transport::storage {

enum class UnsyncedWrites { Present, Torn, WithoutFirst, Missing };

class PowerLossDisk
{
public:
    // Operations that change the disk until power is lost; each later operation fails.
    std::size_t operationsLeft = SIZE_MAX;
    std::size_t operations = 0; // so far
    bool ignoreFolderSyncs = false;

    static PowerLossDisk withFolder(const std::string &path)
    {
        PowerLossDisk disk;
        for (std::string each = path; each != "/"; each = parentOf(each))
            disk.names[each] = std::make_shared<File>(File{.folder = true});
        return disk;
    }

    FileHooks hooks()
    {
        FileHooks hooks;
        hooks.open = [this](const std::string &path, int flags) { return this->open(path, flags); };
        hooks.close = [this](int handle) { return this->handles.erase(handle) == 1 ? 0 : -1; };
        hooks.lock = [](int) { return 0; };
        hooks.read = [this](int handle, char *bytes, std::size_t size) -> ssize_t {
            Handle &from = this->handles.at(handle);
            const std::size_t copied = from.file->content.copy(bytes, size, from.position);
            from.position += copied;
            return static_cast<ssize_t>(copied);
        };
        hooks.write = [this](int handle, const char *bytes, std::size_t size) -> ssize_t {
            if (!this->spend())
                return -1;
            File &file = *this->handles.at(handle).file;
            if (file.firstWriteEnd == 0)
                file.firstWriteEnd = file.content.size() + size;
            file.lastWrite = file.content.size();
            file.content.append(bytes, size);
            return static_cast<ssize_t>(size);
        };
        hooks.sync = [this](int handle) { return this->sync(this->handles.at(handle)); };
        hooks.syncData = hooks.sync;
        hooks.rename = [this](const std::string &from, const std::string &to) {
            if (!this->spend())
                return -1;
            const FilePointer file = this->names.at(from);
            this->setName(to, file);
            this->setName(from, nullptr);
            return 0;
        };
        hooks.unlink = [this](const std::string &path) {
            if (!this->spend())
                return -1;
            this->setName(path, nullptr);
            return 0;
        };
        hooks.truncate = [this](int handle, off_t size) {
            if (!this->spend())
                return -1;
            File &file = *this->handles.at(handle).file;
            file.content.resize(static_cast<std::size_t>(size));
            file.lastWrite = std::min(file.lastWrite, file.content.size());
            return 0;
        };
        hooks.makeFolder = [this](const std::string &path) {
            if (!this->spend())
                return -1;
            this->setName(path, std::make_shared<File>(File{.folder = true}));
            return 0;
        };
        hooks.list = [this](const std::string &folder, std::vector<std::string> &found) {
            for (const auto &[path, file] : this->names) {
                if (file && parentOf(path) == folder)
                    found.push_back(path.substr(folder.size() + 1));
            }
            return 0;
        };
        return hooks;
    }

    // Count of name combinations that a loss of power may leave now.
    std::size_t nameOutcomes() const
    {
        std::size_t outcomes = 1;
        for (const auto &[path, states] : this->unsyncedNames) {
            if (outcomes < SIZE_MAX / states.size())
                outcomes *= states.size();
        }
        return outcomes;
    }

    // The disk after all processes were killed, without a loss of power.
    PowerLossDisk copy() const
    {
        PowerLossDisk made = *this;
        std::map<FilePointer, FilePointer> copies;
        const auto copyOf = [&](const FilePointer &file) {
            FilePointer &copy = copies[file];
            if (file && !copy)
                copy = std::make_shared<File>(*file);
            return copy;
        };
        for (auto &[path, file] : made.names)
            file = copyOf(file);
        for (auto &[path, states] : made.unsyncedNames)
            std::ranges::transform(states, states.begin(), copyOf);
        made.handles.clear();
        return made;
    }

    // The disk after the loss of power, with power again; `outcome` counts through nameOutcomes().
    PowerLossDisk afterPowerLoss(std::size_t outcome, UnsyncedWrites writes) const
    {
        PowerLossDisk after;
        std::map<std::string, FilePointer> left = this->names;
        for (const auto &[path, states] : this->unsyncedNames) {
            left[path] = states[outcome % states.size()];
            outcome /= states.size();
        }
        std::map<FilePointer, FilePointer> copies;
        for (const auto &[path, file] : left) {
            if (!file || !isReachable(left, path))
                continue;
            FilePointer &copy = copies[file];
            if (!copy)
                copy = std::make_shared<File>(file->afterPowerLoss(writes));
            after.names[path] = copy;
        }
        return after;
    }

private:
    struct File
    {
        bool folder = false;
        std::string content;
        std::string durable;           // content at the last sync
        std::size_t firstWriteEnd = 0; // of the first write since then
        std::size_t lastWrite = 0;     // where the last one began

        static std::string::iterator at(std::string &bytes, std::size_t place)
        {
            return bytes.begin() + static_cast<std::ptrdiff_t>(std::min(place, bytes.size()));
        }

        File afterPowerLoss(UnsyncedWrites writes) const
        {
            std::string kept = this->content;
            if (writes == UnsyncedWrites::Missing)
                kept = this->durable;
            else if (writes == UnsyncedWrites::WithoutFirst && this->firstWriteEnd > 0)
                std::fill(at(kept, this->durable.size()), at(kept, this->firstWriteEnd), '\0');
            else if (writes == UnsyncedWrites::Torn && this->content != this->durable)
                kept.resize(this->lastWrite + (this->content.size() - this->lastWrite) / 2);
            return {this->folder, kept, kept, 0, kept.size()};
        }
    };
    using FilePointer = std::shared_ptr<File>;

    struct Handle
    {
        std::string path;
        FilePointer file;
        std::size_t position = 0;
    };

    static std::string parentOf(const std::string &path)
    {
        return path.substr(0, std::max<std::size_t>(path.rfind('/'), 1));
    }

    static bool isReachable(const std::map<std::string, FilePointer> &names,
                            const std::string &path)
    {
        const std::string parent = parentOf(path);
        if (parent == "/")
            return true;
        const auto found = names.find(parent);
        return found != names.end() && found->second && isReachable(names, parent);
    }

    bool spend()
    {
        ++this->operations;
        if (this->operationsLeft > 0) {
            --this->operationsLeft;
            return true;
        }
        errno = EIO;
        return false;
    }

    int open(const std::string &path, int flags)
    {
        FilePointer file = path == "/" ? std::make_shared<File>(File{.folder = true}) : nullptr;
        if (const auto found = this->names.find(path); found != this->names.end())
            file = found->second;
        const bool creates = !file && (flags & O_CREAT) != 0;
        if (!file && !creates) {
            errno = ENOENT;
            return -1;
        }
        if (file && (flags & O_EXCL) != 0) {
            errno = EEXIST;
            return -1;
        }
        if (creates) {
            if (!this->spend())
                return -1;
            file = std::make_shared<File>();
            this->setName(path, file);
        }
        if ((flags & O_TRUNC) != 0)
            file->content.clear();
        this->handles[++this->lastHandle] = {path, file};
        return this->lastHandle;
    }

    int sync(const Handle &handle)
    {
        if (!this->spend())
            return -1;
        if (!handle.file->folder) {
            handle.file->durable = handle.file->content;
            handle.file->firstWriteEnd = 0;
            return 0;
        }
        if (!this->ignoreFolderSyncs)
            std::erase_if(this->unsyncedNames,
                          [&](const auto &each) { return parentOf(each.first) == handle.path; });
        return 0;
    }

    void setName(const std::string &path, FilePointer file)
    {
        std::vector<FilePointer> &states = this->unsyncedNames[path];
        if (states.empty())
            states.push_back(this->names[path]);
        states.push_back(file);
        this->names[path] = std::move(file);
    }

    std::map<std::string, FilePointer> names; // null: removed
    // States of each name since its folder was synced, the synced one first.
    std::map<std::string, std::vector<FilePointer>> unsyncedNames;
    std::map<int, Handle> handles;
    int lastHandle = 2;
};

} // namespace lavenderthread::transport::storage
