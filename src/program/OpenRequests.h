// The requests that this process has taken and not answered yet, each with what it waits for.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace lavenderthread::program {

// What an open request waits for.
enum class RequestStage : std::uint8_t {
    Accepting, // a configuration, or the checks at its arrival
    Endpoints, // endpoints of its service
    Queued,    // a placement by the scheduler
    Sent,      // the first byte of an endpoint's answer
    Handed,    // the answer of a peer that it was handed to
    Answering, // the end of an answer that its caller gets already
};

constexpr std::size_t requestStageCount = 6;

std::string_view toString(RequestStage stage);

class OpenRequest;

// Thread-safe. Lives until the last OpenRequest has ended.
class OpenRequests : public std::enable_shared_from_this<OpenRequests>
{
public:
    // One open request, as it was when asked.
    struct Entry
    {
        state::RequestId id; // empty until it is known
        RequestStage stage = RequestStage::Accepting;
        state::Instant arrival;
        state::Instant stageSince;

        auto operator<=>(const Entry &) const = default;
    };

    static std::shared_ptr<OpenRequests> create();

    OpenRequest open(state::Instant arrival);
    std::size_t count() const;
    std::array<std::size_t, requestStageCount> countByStage() const; // by RequestStage
    std::vector<Entry> list() const;

private:
    friend class OpenRequest;
    using Entries = std::list<Entry>;

    OpenRequests() = default;

    mutable std::mutex mutex; // guards `entries`
    Entries entries;          // in order of arrival at this process
};

// The place of one request among the open ones, from open() until its destruction.
class OpenRequest
{
public:
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;
    ~OpenRequest();

    void setId(const state::RequestId &id);
    void enter(RequestStage stage);

private:
    friend class OpenRequests;

    OpenRequest(std::shared_ptr<OpenRequests> all, OpenRequests::Entries::iterator entry);

    std::shared_ptr<OpenRequests> all;
    OpenRequests::Entries::iterator entry;
};

} // namespace lavenderthread::program
