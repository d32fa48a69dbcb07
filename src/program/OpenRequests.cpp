#include "program/OpenRequests.h"

#include "program/Clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace lavenderthread::program {

std::string_view toString(RequestStage stage)
{
    switch (stage) {
    case RequestStage::Accepting:
        return "accepting";
    case RequestStage::Endpoints:
        return "endpoints";
    case RequestStage::Queued:
        return "queued";
    case RequestStage::Sent:
        return "sent";
    case RequestStage::Handed:
        return "handed";
    case RequestStage::Answering:
        return "answering";
    }
    return "accepting";
}

std::shared_ptr<OpenRequests> OpenRequests::create()
{
    return std::shared_ptr<OpenRequests>(new OpenRequests());
}

OpenRequest OpenRequests::open(state::Instant arrival)
{
    const std::lock_guard lock(this->mutex);
    Entry entry;
    entry.arrival = arrival;
    entry.stageSince = monotonicNow();
    return {this->shared_from_this(), this->entries.insert(this->entries.end(), std::move(entry))};
}

std::size_t OpenRequests::count() const
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

std::array<std::size_t, requestStageCount> OpenRequests::countByStage() const
{
    std::array<std::size_t, requestStageCount> counts{};
    const std::lock_guard lock(this->mutex);
    for (const Entry &each : this->entries)
        ++counts[std::size_t(each.stage)];
    return counts;
}

std::vector<OpenRequests::Entry> OpenRequests::list() const
{
    const std::lock_guard lock(this->mutex);
    return {this->entries.begin(), this->entries.end()};
}

void OpenRequests::endAll()
{
    std::map<const Entry *, Ending> due;
    {
        const std::lock_guard lock(this->mutex);
        due.swap(this->endings);
    }
    for (const auto &[entry, ending] : due) {
        boost::asio::post(ending.executor, [end = ending.end] {
            if (const auto present = end.lock())
                (*present)();
        });
    }
}

OpenRequest::OpenRequest(std::shared_ptr<OpenRequests> all, OpenRequests::Entries::iterator entry)
    : all(std::move(all))
    , entry(entry)
{}

OpenRequest::~OpenRequest()
{
    const std::lock_guard lock(this->all->mutex);
    this->all->endings.erase(&*this->entry);
    this->all->entries.erase(this->entry);
}

void OpenRequest::setId(const state::RequestId &id)
{
    const std::lock_guard lock(this->all->mutex);
    this->entry->id = id;
}

void OpenRequest::enter(RequestStage stage)
{
    const std::lock_guard lock(this->all->mutex);
    if (this->entry->stage == stage)
        return;
    this->entry->stage = stage;
    this->entry->stageSince = monotonicNow();
}

void OpenRequest::onEnd(boost::asio::any_io_executor executor, std::function<void()> ending)
{
    this->end = std::make_shared<const std::function<void()>>(std::move(ending));
    const std::lock_guard lock(this->all->mutex);
    this->all->endings[&*this->entry] = {std::move(executor), this->end};
}

} // namespace lavenderthread::program
