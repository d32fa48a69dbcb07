// Size and processor time of the datagrams in which entries tell each other of work in progress.
// Prints one line a batch size; docs/CAPACITY.md takes its slopes from here.
#include "protocol/PeerUpdate.h"

#include <chrono>
#include <cstdio>
#include <vector>

using namespace lavenderthread; // NOLINT(google-build-using-namespace): one small program

int main()
{
    const protocol::SealKeys keys{{"bench-cluster-key"}};
    coordination::routing::WorkNote note;
    note.engine = coordination::routing::EngineKey::of(state::EndpointId("engine-0417"));
    note.key = {state::ClientAccountId("account-10042"), state::WorkClass("narrative")};
    note.promptTokens = 4'000;
    note.prefillTokens = 3'000;
    constexpr int rounds = 20'000;
    std::printf("notes  datagrams  bytes  bytes a note  seal and open us a note\n");
    for (const std::size_t count : {1U, 5U, 20U, 80U}) {
        const std::vector<protocol::PeerUpdate> news(count, note);
        std::size_t bytes = 0;
        std::size_t datagrams = 0;
        const auto start = std::chrono::steady_clock::now();
        const int repeats = rounds / static_cast<int>(count);
        for (int round = 0; round < repeats; ++round) {
            const auto sealed = protocol::sealPeerUpdates(keys, news);
            bytes = 0;
            datagrams = sealed.size();
            for (const std::string &datagram : sealed) {
                bytes += datagram.size();
                if (!protocol::unsealPeerUpdates(keys, datagram))
                    return 1;
            }
        }
        const std::chrono::duration<double, std::micro> time =
                std::chrono::steady_clock::now() - start;
        std::printf("%5zu  %9zu  %5zu  %12.1f  %23.2f\n", count, datagrams, bytes,
                    static_cast<double>(bytes) / static_cast<double>(count),
                    time.count() / repeats / static_cast<double>(count));
    }
    return 0;
}
