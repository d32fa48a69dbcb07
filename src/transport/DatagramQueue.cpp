#include "transport/DatagramQueue.h"

namespace lavenderthread::transport {

void DatagramQueue::send(const state::Address &to, std::string_view datagram)
{
    // Behind those that wait, so that news of one sender arrive in their order.
    if (this->waiting.empty() && this->tryNow(to, datagram) != Sent::Blocked)
        return;
    this->waitingBytes += datagram.size();
    this->waiting.push_back({to, std::string(datagram)});
    while (this->waitingBytes > mostBytes) {
        this->waitingBytes -= this->waiting.front().datagram.size();
        this->waiting.pop_front();
        ++this->droppedCount;
    }
}

void DatagramQueue::flush()
{
    while (!this->waiting.empty()) {
        const Waiting &next = this->waiting.front();
        if (this->tryNow(next.to, next.datagram) == Sent::Blocked)
            return;
        this->waitingBytes -= next.datagram.size();
        this->waiting.pop_front();
    }
}

Sent DatagramQueue::tryNow(const state::Address &to, std::string_view datagram)
{
    const Sent sent = this->transmit(to, datagram);
    this->refusedCount += sent == Sent::Refused ? 1 : 0;
    return sent;
}

} // namespace lavenderthread::transport
