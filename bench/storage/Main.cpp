// Measures the state that outlives machines. usage: storage-bench [--json] [--folder PATH]
#include "storage/Parts.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <string_view>

int main(int argc, char **argv)
{
    bool asJson = false;
    std::string folder = std::filesystem::temp_directory_path();
    for (int place = 1; place < argc; ++place) {
        const std::string_view argument = argv[place];
        if (argument == "--json") {
            asJson = true;
        } else if (argument == "--folder" && place + 1 < argc) {
            folder = argv[++place];
        } else {
            std::fputs("usage: storage-bench [--json] [--folder PATH]\n", stderr);
            return 2;
        }
    }
    folder += "/lavenderthread-storage-bench-" + std::to_string(::getpid());
    std::filesystem::create_directories(folder);
    lavenderthread::bench::Figures figures;
    lavenderthread::bench::measureCommits(folder, figures);
    lavenderthread::bench::measureRestart(folder, figures);
    lavenderthread::bench::measureState(figures);
    std::filesystem::remove_all(folder);
    figures.print(asJson);
    return 0;
}
