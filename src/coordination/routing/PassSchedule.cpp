#include "coordination/routing/PassSchedule.h"

#include <algorithm>
#include <iterator>

namespace lavenderthread::coordination::routing {

PassSchedule::PassSchedule(const std::vector<const EngineView *> &engines, double longDemand,
                           const PassPlacementSettings &settings)
    : candidates(passCandidates(engines, {}, settings))
    , longDemand(longDemand)
    , settings(settings)
{
    for (std::size_t index = 0; index < this->candidates.size(); ++index)
        this->indexes[this->candidates[index].view->description().id] = index;
}

std::optional<PassChoice> PassSchedule::place(PassRequest request)
{
    if (this->full)
        return std::nullopt;
    request.longDemand = this->longDemand;
    std::optional<PassChoice> choice;
    if (request.failedEngines.empty()) {
        choice = placeByPasses(this->candidates, request, this->settings);
    } else {
        std::vector<PassCandidate> others;
        std::ranges::copy_if(this->candidates, std::back_inserter(others), [&](const auto &each) {
            return std::ranges::find(request.failedEngines, each.view->description().id)
                   == request.failedEngines.end();
        });
        choice = placeByPasses(others, request, this->settings);
    }
    if (choice)
        this->occupy(*choice, request);
    else
        this->full = !holdByPasses(this->candidates, request, this->settings);
    return choice;
}

void PassSchedule::occupy(const PassChoice &choice, const PassRequest &request)
{
    std::uint64_t elsewhere = 0;
    for (const MemoryShare &share : choice.memory)
        elsewhere += share.tokens;
    for (std::size_t index = 0; index < choice.helpers.size(); ++index) {
        const std::uint64_t held =
                index < choice.memory.size() ? choice.memory[index].tokens : std::uint64_t(0);
        if (PassCandidate *helper = this->find(choice.helpers[index]))
            helper->addHelperPart(choice.partSeconds, held);
    }
    const std::uint64_t memory = request.memoryTokens;
    if (PassCandidate *answering = this->find(choice.engine))
        answering->addAnswer(choice.partSeconds, memory - std::min(memory, elsewhere), request);
}

PassCandidate *PassSchedule::find(const state::EndpointId &engine)
{
    const auto found = this->indexes.find(engine);
    return found == this->indexes.end() ? nullptr : &this->candidates[found->second];
}

} // namespace lavenderthread::coordination::routing
