// The requests that this process has taken and not answered yet, each with what it waits for, and
// the time by which all must be answered once the process has been told to stop.
#pragma once

#include "state/Ids.h"
#include "state/Time.h"

#include <boost/asio/any_io_executor.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
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

    // The process ends soon after that time.
    void answerUntil(state::Instant limit) { this->limit = limit; }
    bool isLeaving() const { return this->limit.load() != state::Instant::max(); }
    // The lesser of `deadline` and the time by which all must be answered.
    state::Instant boundOf(state::Instant deadline) const
    {
        return std::min(deadline, this->limit.load());
    }
    // Makes each open request answer with what is known of it, unless its answer has begun.
    void endAll();

private:
    friend class OpenRequest;
    using Entries = std::list<Entry>;

    struct Ending
    {
        boost::asio::any_io_executor executor;
        std::weak_ptr<const std::function<void()>> end; // expires with the OpenRequest
    };

    OpenRequests() = default;

    // Instant::max(): the process has not been told to stop.
    std::atomic<state::Instant> limit = state::Instant::max();
    mutable std::mutex mutex;                // guards the members below
    Entries entries;                         // in order of arrival at this process
    std::map<const Entry *, Ending> endings; // of those that can be ended
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
    // `end` is called at most once, on `executor`, when the request must be answered now. This
    // object must be destroyed on that executor, which runs one handler at a time.
    void onEnd(boost::asio::any_io_executor executor, std::function<void()> end);

private:
    friend class OpenRequests;

    OpenRequest(std::shared_ptr<OpenRequests> all, OpenRequests::Entries::iterator entry);

    std::shared_ptr<OpenRequests> all;
    OpenRequests::Entries::iterator entry;
    std::shared_ptr<const std::function<void()>> end; // null unless onEnd() was called
};

} // namespace lavenderthread::program
