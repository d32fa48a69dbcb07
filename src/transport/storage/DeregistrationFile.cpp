// Layout: records, each with its length and checksum, then cereal's portable binary.
#include "transport/storage/DeregistrationFile.h"

#include "protocol/Envelope.h"
#include "transport/storage/FolderNames.h"
#include "transport/storage/LogRecord.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace lavenderthread::transport::storage {

namespace {

constexpr std::string_view fileName = "deregistrations";
// Not that of the log, which removes such files when it is opened again.
constexpr std::string_view newSuffix = ".new";

struct RecordHeader
{
    std::uint64_t bodyBytes = 0;
    std::uint64_t checksum = 0; // of the body
};

void appendTo(std::string &buffer, const state::Deregistration &deregistration)
{
    const std::string body = protocol::encode(deregistration);
    const RecordHeader header{body.size(), checksum(body)};
    buffer.append(reinterpret_cast<const char *>(&header), sizeof header).append(body);
}

std::vector<state::Deregistration> parse(std::string_view bytes)
{
    std::vector<state::Deregistration> found;
    RecordHeader header;
    while (bytes.size() >= sizeof header) {
        std::memcpy(&header, bytes.data(), sizeof header);
        bytes.remove_prefix(sizeof header);
        if (header.bodyBytes > bytes.size())
            break;
        const std::string_view body = bytes.substr(0, header.bodyBytes);
        if (checksum(body) != header.checksum)
            break;
        auto decoded = protocol::decode<state::Deregistration>(body);
        if (!decoded)
            break;
        found.push_back(std::move(decoded.value()));
        bytes.remove_prefix(body.size());
    }
    return found;
}

} // namespace

DeregistrationFile::DeregistrationFile(DeregistrationFileSettings settings, FileHooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
{}

DeregistrationFile::Opened DeregistrationFile::open(DeregistrationFileSettings settings,
                                                    state::Instant now, FileHooks hooks)
{
    Opened opened;
    opened.file.reset(new DeregistrationFile(std::move(settings), std::move(hooks)));
    auto found = opened.file->read();
    if (!found) {
        opened.problem = found.error();
        return opened;
    }
    opened.recovered = std::move(found.value());
    for (const state::Deregistration &each : opened.recovered)
        opened.file->keep(each, now);
    return opened;
}

state::Result<std::vector<state::Deregistration>> DeregistrationFile::read() const
{
    BOOST_OUTCOME_TRY(const std::vector<std::string> names,
                      listFolder(this->hooks, this->settings.folder));
    if (std::ranges::find(names, fileName) == names.end())
        return std::vector<state::Deregistration>();
    BOOST_OUTCOME_TRY(const std::string bytes, readWholeFile(this->hooks, this->path()));
    return parse(bytes);
}

state::Result<void>
DeregistrationFile::append(std::span<const state::Deregistration> deregistrations,
                           state::Instant now)
{
    for (const state::Deregistration &each : deregistrations)
        this->keep(each, now);
    const bool tooLarge =
            this->size > std::max(this->settings.rewriteBytes, 2 * this->sizeWhenRewritten);
    if (!this->current || tooLarge)
        return this->rewrite(now);
    state::Result<void> appended = this->appendToCurrent(deregistrations);
    if (!appended)
        this->current.reset();
    return appended;
}

void DeregistrationFile::keep(const state::Deregistration &deregistration, state::Instant now)
{
    Kept &entry = this->kept[deregistration.endpoint];
    if (deregistration.incarnation >= entry.incarnation)
        entry = {deregistration.incarnation, now};
}

state::Result<void>
DeregistrationFile::appendToCurrent(std::span<const state::Deregistration> deregistrations)
{
    std::string buffer;
    for (const state::Deregistration &each : deregistrations)
        appendTo(buffer, each);
    BOOST_OUTCOME_TRYV(this->current->writeAll(buffer));
    this->size += buffer.size();
    return this->current->syncData();
}

// The old file stays until the new one is whole.
state::Result<void> DeregistrationFile::rewrite(state::Instant now)
{
    this->current.reset();
    std::erase_if(this->kept, [&](const auto &each) {
        return now - each.second.since > this->settings.retention;
    });
    std::string buffer;
    for (const auto &[endpoint, entry] : this->kept)
        appendTo(buffer, {endpoint, entry.incarnation});
    const std::string temporary = this->path() + std::string(newSuffix);
    BOOST_OUTCOME_TRY(File file, File::open(this->hooks, temporary, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_OUTCOME_TRYV(file.writeAll(buffer));
    BOOST_OUTCOME_TRYV(file.sync());
    if (this->hooks.rename(temporary, this->path()) != 0)
        return storageError("storage.rename", this->path(), errno);
    BOOST_OUTCOME_TRYV(syncFolder(this->hooks, this->settings.folder));
    this->current = std::move(file);
    this->size = this->sizeWhenRewritten = buffer.size();
    return state::outcome::success();
}

std::string DeregistrationFile::path() const
{
    return this->settings.folder + "/" + std::string(fileName);
}

} // namespace lavenderthread::transport::storage
