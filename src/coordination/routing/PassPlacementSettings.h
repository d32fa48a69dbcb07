// The weights of placing on engines that work in passes.
#pragma once

#include <compare>
#include <cstddef>

namespace lavenderthread::coordination::routing {

struct PassPlacementSettings
{
    // Prefill up to this long counts as brief and is packed. Once callers have said which pauses
    // they bear, it is this share of the tightest of them: what is longer would break the pauses of
    // those who decode beside it.
    double briefSeconds = 0.1;
    double briefPauseShare = 0.6;
    // Share of an engine's places that brief requests are meant to take: entries place at the same
    // moment by notes that are some milliseconds old, and who finds all places taken waits for a
    // second or more. Where long work needs the engines, up to the second share.
    double briefPlaceShare = 0.69;
    double briefPlaceShareCrowded = 0.81;
    // Share of the time to the first event that the engines for brief requests may need before
    // other engines are considered too.
    double briefBusyShare = 0.8;
    // Engines whose crowding differs by less are taken for equal, and one of them is drawn: else
    // all entries that place at the same moment choose the same one.
    double evenSeconds = 0.05;
    // Long work that one engine of its part is meant to do in a second, and engines beside.
    double longSecondsPerEngine = 0.6;
    double longEnginesBeside = 2;
    // How fast the demand of long work is forgotten: load swings within seconds.
    double demandMemorySeconds = 1.5;
    // Cost of one more helper, as time to the first token: each one stalls whoever decodes there,
    // and one more engine must stay alive.
    double helperSeconds = 0.008;
    std::size_t mostHelpers = 16; // bound of the engines' interface
    // Cost of prefilling long where requests with tight pauses decode, as time to the first token.
    double besideTightSeconds = 0.5;
    // Engines whose requests have tight pauses take parts up to this long, which fit into a pass of
    // theirs; a longer one would make some ten callers' answers late for the sake of one.
    double besideTightPart = 0.1;
    // Up to so many such requests are too few to count.
    double fewBriefs = 2;
    // An engine that decodes takes a part in only when its pass is over, and gives it back when the
    // next one is.
    double besideDecodingPasses = 1.5;
    // Of answering where no long answers gather.
    double outsideAnsweringSeconds = 0.4;
    double answeringMemoryShare = 0.8; // of an answering engine's memory that is meant to be used
    // A long prompt starts when this share of the engines for long work, or as many as pay, have
    // less than so much prefill waiting: they are kept busy by one prompt after the other, and not
    // by several at once.
    double startShare = 0.8;
    // It also starts as soon as its parts would take no more than this share of the time to its
    // first event as asked.
    double startPartShare = 0.15;
    double startWaitingSeconds = 0.06;
    std::size_t partsPerHelper = 2;      // not known to be done
    double startOwnWaitingSeconds = 0.1; // the same, of the engine that answers
    // A long prompt is turned away when it would wait longer for its start than this share of the
    // time to the first token as asked.
    double waitingShare = 0.6;
    // Of the pauses that callers of the model bear, until they have said which; pauses below so
    // many times it are tight.
    double tightestPauseSeconds = 0.2;
    double tightPauses = 1.5;
    // Prompts larger than an engine's memory keep the rest at helpers: the share of an engine's
    // free memory that one prompt may take there, and how many helpers hold some.
    double memoryShare = 0.8;
    std::size_t mostMemoryHelpers = 6;
    // Long requests that one engine is meant to answer at once: each makes the passes of the others
    // longer by its context.
    double longPerEngine = 4;
    // An engine for brief requests answers so many of them too, if its passes, with the prompt's
    // part and its context, stay under this share of the tightest pause: they run for the brief
    // answers anyway, and one engine less is kept from prefilling.
    double longsBesideBriefs = 1;
    double besideBriefPauseShare = 0.7;

    bool isTight(double pauseSeconds) const
    {
        return pauseSeconds < this->tightPauses * this->tightestPauseSeconds;
    }
    // What follows from the tightest pause that callers of the model bear.
    PassPlacementSettings withTightestPause(double seconds) const
    {
        PassPlacementSettings adapted = *this;
        adapted.briefSeconds = this->briefPauseShare * seconds;
        adapted.tightestPauseSeconds = seconds;
        return adapted;
    }

    auto operator<=>(const PassPlacementSettings &) const = default;
};

} // namespace lavenderthread::coordination::routing
