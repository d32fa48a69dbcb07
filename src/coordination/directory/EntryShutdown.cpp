// Transitions between the stages of a graceful shutdown.
#include "coordination/directory/EntryShutdown.h"

namespace lavenderthread::coordination::directory {

void EntryShutdown::begin(state::Instant now)
{
    if (this->current != ShutdownStage::Serving)
        return;
    this->current = ShutdownStage::Announced;
    this->beganAt = now;
}

ShutdownStage EntryShutdown::tick(std::size_t requestsInFlight, state::Instant now)
{
    if (this->current == ShutdownStage::Announced && now - this->beganAt >= this->acceptFor)
        this->current = ShutdownStage::Refusing;
    if (this->current == ShutdownStage::Refusing && requestsInFlight == 0)
        this->current = ShutdownStage::Finished;
    return this->current;
}

} // namespace lavenderthread::coordination::directory
