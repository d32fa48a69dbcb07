// Command line of the one binary.
#include "program/Commands.h"
#include "program/Version.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>

namespace {

using namespace lavenderthread::program; // NOLINT(google-build-using-namespace): main only

constexpr const char *exitCodes =
        "Exit codes: 0 ok, 1 failed, 2 wrong command line, 3 wrong settings, 4 address not to be "
        "bound,\n  5 the request did not run, 6 not known whether it ran, 7 no entry reachable.";

// Each adds one subcommand; `code` is set when it has run.

void addServe(CLI::App &app, int &code)
{
    auto file = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("serve", "Run one node of the system");
    command->add_option("--settings", *file, "Settings file (JSON)")->required();
    command->footer("Example:\n  lavenderthread serve --settings /etc/lavenderthread/vm1.json");
    command->callback([file, &code] { code = runServe(*file); });
}

void addCheckSettings(CLI::App &app, int &code)
{
    struct Options
    {
        std::string file;
        bool reference = false;
        bool json = false;
    };
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("check-settings",
                                           "Check a settings file and say what is wrong with it");
    command->add_option("--settings", options->file, "Settings file (JSON)");
    command->add_flag("--reference", options->reference, "Print the page of all settings instead");
    command->add_flag("--json", options->json, "Print JSON");
    command->footer("Example:\n  lavenderthread check-settings --settings vm1.json");
    command->callback([options, &code] {
        if (options->file.empty() && !options->reference)
            throw CLI::RequiredError("--settings or --reference");
        code = runCheckSettings(options->file, options->reference, options->json);
    });
}

void addCall(CLI::App &app, int &code)
{
    auto options = std::make_shared<CallOptions>();
    CLI::App *command = app.add_subcommand("call", "Send one request as a caller would");
    command->add_option("--entry", options->entries, "IP:PORT of any entry; may be repeated")
            ->required();
    command->add_option("--account", options->account, "Client account, for the directory");
    command->add_option("--key", options->key, "Bearer key of the account")->required();
    command->add_option("--model", options->model, "Model of a completion");
    command->add_option("--prompt", options->prompt, "Prompt text");
    command->add_option("--prompt-file", options->promptFile, "File with the prompt");
    command->add_option("--prompt-tokens", options->promptTokens,
                        "Make up a prompt of this length");
    command->add_option("--max-tokens", options->maxTokens, "Tokens to generate");
    command->add_option("--deadline-ms", options->deadlineMs, "Time for the whole call");
    command->add_option("--work-class", options->workClass, "Work class of the request");
    command->add_option("--service", options->service, "Call this plain service instead");
    command->add_option("--method", options->method, "Method of the service call");
    command->add_option("--path", options->path, "Path of the service call");
    command->add_option("--body", options->body, "Body of the service call");
    command->add_option("--idempotency-key", options->idempotencyKey,
                        "Key of a call that may run at most once");
    command->add_flag("--json", options->json, "Print JSON");
    command->footer("Examples:\n"
                    "  lavenderthread call --entry 127.0.0.1:8080 --key KEY --model billing-v3 "
                    "--prompt 'Two hours on the lease'\n"
                    "  lavenderthread call --entry 127.0.0.1:8080 --key KEY --service ledger "
                    "--method POST --path /time-entries --body '{\"hours\":2}' "
                    "--idempotency-key matter-17-0001");
    command->callback([options, &code] { code = runCall(*options); });
}

void addStatus(CLI::App &app, int &code)
{
    struct Options
    {
        std::vector<std::string> entries;
        bool json = false;
    };
    auto options = std::make_shared<Options>();
    CLI::App *command = app.add_subcommand("status", "Show what entries say of themselves");
    command->add_option("--entry", options->entries, "IP:PORT; may be repeated")->required();
    command->add_flag("--json", options->json, "Print JSON");
    command->footer("Example:\n  lavenderthread status --entry 127.0.0.1:8080");
    command->callback([options, &code] { code = runStatus(options->entries, options->json); });
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("lavenderthread: a serving layer between callers and fleets of model engines");
    app.set_version_flag("--version", std::string(version()));
    app.require_subcommand(1);
    app.footer(exitCodes);
    int code = exitOk;
    addServe(app, code);
    addCheckSettings(app, code);
    addCall(app, code);
    addStatus(app, code);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        return app.exit(problem) == 0 ? exitOk : exitUsage;
    } catch (const std::exception &problem) {
        std::cerr << "lavenderthread: " << problem.what() << '\n';
        return exitFailed;
    }
    return code;
}
