// Transitions between the stages of a graceful shutdown.
#include "coordination/directory/EntryShutdown.h"

namespace lavenderthread::coordination::directory {

void EntryShutdown::begin(state::Instant now)
{
    if (this->currentStage != ShutdownStage::Serving)
        return;
    this->currentStage = ShutdownStage::Announced;
    this->beganAt = now;
}

ShutdownStage EntryShutdown::tick(std::size_t requestsInFlight, state::Instant now)
{
    if (this->currentStage == ShutdownStage::Announced
        && now - this->beganAt >= this->acceptDuration)
        this->currentStage = ShutdownStage::Refusing;
    if (this->currentStage == ShutdownStage::Refusing && requestsInFlight == 0)
        this->currentStage = ShutdownStage::Finished;
    return this->currentStage;
}

} // namespace lavenderthread::coordination::directory
