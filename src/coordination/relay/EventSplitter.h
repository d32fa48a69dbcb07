// Splits a stream of server-sent events into complete events, so that no partial event is passed on
// and another endpoint can continue after the last one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lavenderthread::coordination::relay {

class EventSplitter
{
public:
    // Longer ones are taken for bytes without end.
    static constexpr std::size_t maximumEventBytes = 1U << 20U;

    // An endpoint begins or continues the stream: drops the event that the last one left
    // incomplete.
    void beginRun();
    // Appends bytes and returns, unchanged, the complete events that are new to the caller. Events
    // up to the last id passed on are left out, as an endpoint that resumes may repeat some; until
    // it has passed that id, so are those without one.
    std::string append(std::string_view bytes);
    // Whether the end of this run is the end of the stream: it has brought the last event that the
    // caller has, or a later one, or it has no event at all and says by its last chunk that nothing
    // is left. A run that ended before has only repeated what the caller has.
    bool runMayEndStream(bool byLastChunk) const
    {
        return this->progress != RunProgress::Behind || (byLastChunk && !this->runHasEvents);
    }
    // Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !this->buffer.empty(); }
    std::size_t bufferedBytes() const { return this->buffer.size(); }
    // Whether the incomplete event is too long to be continued.
    bool isTooLong() const { return this->buffer.size() > maximumEventBytes; }

    const std::optional<std::uint64_t> &lastId() const { return this->lastEventId; }
    // The caller resumes a stream of which it has all events up to `id`.
    void resumeAfter(std::uint64_t id) { this->lastEventId = id; }
    // Whether another run can go on behind what was passed on: it is asked for by id.
    bool canBeResumed() const { return !this->passedWithoutId; }
    // Number of events passed on.
    std::uint64_t passedEvents() const { return this->passedEventCount; }

private:
    enum class RunProgress : std::uint8_t {
        Behind,  // only events before the last one that the caller has
        Reached, // that one
        Beyond,  // events that the caller lacked
    };

    bool isNew(std::string_view event);

    std::string buffer;
    std::size_t searched = 0; // bytes of `buffer` in which no event ends
    // Highest event id that the caller has; never decreases.
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t passedEventCount = 0;
    bool runHasEvents = false;
    bool passedWithoutId = false; // an event; not only comments and settings of the stream
    RunProgress progress = RunProgress::Beyond; // the first run has nothing to repeat
};

} // namespace lavenderthread::coordination::relay
