// Defines the command line of the binary.
#include "program/CommandLine.h"

#include "program/Commands.h"
#include "program/Version.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <string>

namespace lavenderthread::program {

namespace {

constexpr const char *exitCodes =
        "Exit codes: 0 ok, 1 failed, 2 wrong command line, 3 wrong settings, 4 address not to be "
        "bound,\n  5 the request did not run, 6 not known whether it ran, 7 no entry reachable.";

// Each function adds one subcommand, which sets `code` to its exit code when it has run.

void addServe(CLI::App &app, const Deployment &deployment, int &code)
{
    auto file = std::make_shared<std::string>();
    CLI::App *command = app.add_subcommand("serve", "Run one node of the system");
    command->add_option("--settings", *file, "Settings file (JSON)")->required();
    command->footer("Example:\n  lavenderthread serve --settings /etc/lavenderthread/vm1.json");
    command->callback([file, &deployment, &code] { code = runServe(*file, deployment); });
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

void addOperatorOptions(CLI::App *command, const std::shared_ptr<OperatorOptions> &options)
{
    command->add_option("--entry", options->entries, "IP:PORT of any entry; may be repeated")
            ->required();
    command->add_option("--key", options->key, "An operator's bearer key")->required();
    command->add_option("--request", options->request,
                        "Id of this request; give the same one when sending it again");
}

void addTable(CLI::App &app, int &code)
{
    CLI::App *table = app.add_subcommand("table", "Show or edit the operators' table");
    table->require_subcommand(1);
    auto options = std::make_shared<OperatorOptions>();
    auto format = std::make_shared<std::string>("csv");
    CLI::App *get = table->add_subcommand("get", "Print the table");
    addOperatorOptions(get, options);
    get->add_option("--format", *format, "csv or json")->check(CLI::IsMember({"csv", "json"}));
    get->footer(
            "Example:\n  lavenderthread table get --entry 127.0.0.1:8080 --key KEY > table.csv");
    get->callback([options, format, &code] { code = runTableGet(*options, *format); });

    auto file = std::make_shared<std::string>();
    auto dryRun = std::make_shared<bool>(false);
    CLI::App *apply = table->add_subcommand("apply", "Apply the rows of a CSV or JSON file");
    addOperatorOptions(apply, options);
    apply->add_option("file", *file, "As printed by table get, ending in .csv or .json")
            ->required();
    apply->add_flag("--dry-run", *dryRun, "Only show what would change");
    apply->footer("Example:\n  lavenderthread table apply table.csv --dry-run "
                  "--entry 127.0.0.1:8080 --key KEY");
    apply->callback(
            [options, file, dryRun, &code] { code = runTableApply(*options, *file, *dryRun); });
}

void addAccount(CLI::App &app, int &code)
{
    struct Names
    {
        std::string id;
        std::string name;
        std::string key;
    };
    CLI::App *account = app.add_subcommand("account", "Create or change a client account");
    account->require_subcommand(1);
    auto options = std::make_shared<OperatorOptions>();
    auto names = std::make_shared<Names>();
    CLI::App *put = account->add_subcommand("put", "Create the account, or give it another key");
    addOperatorOptions(put, options);
    put->add_option("--id", names->id, "Client account")->required();
    put->add_option("--name", names->name, "Name for people");
    put->add_option("--account-key", names->key, "Bearer key of its callers")->required();
    put->footer("Example:\n  lavenderthread account put --id acme --account-key SECRET123 "
                "--entry 127.0.0.1:8080 --key KEY");
    put->callback([options, names, &code] {
        code = runAccountPut(*options, names->id, names->name, names->key);
    });
}

void addOrder(CLI::App &app, int &code)
{
    auto options = std::make_shared<OperatorOptions>();
    auto order = std::make_shared<OrderOptions>();
    CLI::App *command = app.add_subcommand("order", "Give an order to endpoints");
    addOperatorOptions(command, options);
    command->add_option("kind", order->kind, "drain, undrain, load, unload, stop or role")
            ->required();
    command->add_option("--endpoint", order->endpoints, "Endpoint; may be repeated");
    command->add_option("--model", order->model, "Model of load and unload");
    command->add_option("--role", order->role, "Role of role");
    command->add_option("--count", order->count, "Keep the model loaded on that many engines");
    command->footer("Example:\n  lavenderthread order drain --endpoint engine7 "
                    "--entry 127.0.0.1:8080 --key KEY");
    command->callback([options, order, &code] { code = runOrder(*options, *order); });
}

void addEnforcement(CLI::App &app, int &code)
{
    auto options = std::make_shared<OperatorOptions>();
    auto version = std::make_shared<std::uint64_t>(0);
    CLI::App *command =
            app.add_subcommand("in-force", "Tell on how many entries a version is in force");
    addOperatorOptions(command, options);
    command->add_option("version", *version, "As answered when the change was accepted")
            ->required();
    command->footer("Example:\n  lavenderthread in-force 42 --entry 127.0.0.1:8080 --key KEY");
    command->callback([options, version, &code] { code = runEnforcement(*options, *version); });
}

} // namespace

int runCommandLine(int argc, char **argv, const Deployment &deployment)
{
    CLI::App app("lavenderthread: a serving layer between callers and fleets of model engines");
    app.set_version_flag("--version", std::string(version()));
    app.require_subcommand(1);
    app.footer(exitCodes);
    int code = exitOk;
    addServe(app, deployment, code);
    addCheckSettings(app, code);
    addCall(app, code);
    addStatus(app, code);
    addTable(app, code);
    addAccount(app, code);
    addOrder(app, code);
    addEnforcement(app, code);
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

} // namespace lavenderthread::program
