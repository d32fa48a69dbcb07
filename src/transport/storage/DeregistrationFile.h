// The deregistrations that a member knows, in one file of its data folder. They outlast a kill of
// all processes and a loss of all power, after which an announcement that was on its way would put
// the endpoint into use again.
#pragma once

#include "state/Endpoint.h"
#include "state/Error.h"
#include "state/Time.h"
#include "transport/storage/File.h"
#include "transport/storage/FileHooks.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lavenderthread::transport::storage {

struct DeregistrationFileSettings
{
    std::string folder;
    // How long one is kept, counted anew after each start.
    state::Duration retention = std::chrono::hours(1);
    // A file that is larger and holds more than twice what is kept is written anew.
    std::size_t rewriteBytes = 64U << 10U;
};

// Used by one thread at a time.
class DeregistrationFile
{
public:
    struct Opened
    {
        std::unique_ptr<DeregistrationFile> file;
        std::vector<state::Deregistration> recovered;
        std::optional<state::Error> problem; // StorageFailed: the file can't be read
    };

    // Bytes behind the last whole record belong to a write that was not acknowledged.
    static Opened open(DeregistrationFileSettings settings, state::Instant now,
                       FileHooks hooks = FileHooks::system());

    // After success they are durable, and all that were given before. After a failure nothing is
    // known of the file, and the next call writes all of it anew. Error: StorageFailed.
    state::Result<void> append(std::span<const state::Deregistration> deregistrations,
                               state::Instant now);

    std::size_t bytes() const { return this->size; }

private:
    struct Kept
    {
        std::uint64_t incarnation = 0;
        state::Instant since;
    };

    DeregistrationFile(DeregistrationFileSettings settings, FileHooks hooks);

    state::Result<std::vector<state::Deregistration>> read() const;
    void keep(const state::Deregistration &deregistration, state::Instant now);
    state::Result<void> appendToCurrent(std::span<const state::Deregistration> deregistrations);
    state::Result<void> rewrite(state::Instant now);
    std::string path() const;

    DeregistrationFileSettings settings;
    FileHooks hooks;
    std::optional<File> current; // nothing: its contents are not known
    std::size_t size = 0;
    std::size_t sizeWhenRewritten = 0;
    std::map<state::EndpointId, Kept> kept; // the newest incarnation of each that has left
};

} // namespace lavenderthread::transport::storage
