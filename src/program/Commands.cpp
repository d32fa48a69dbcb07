// The subcommands serve and check-settings.
#include "program/Commands.h"

#include "program/Log.h"
#include "program/Node.h"
#include "program/SettingsSchema.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace lavenderthread::program {

namespace {

LogLevel levelOf(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace

int runServe(const std::string &settingsFile, const Deployment &deployment)
{
    const auto settings = Settings::load(settingsFile);
    if (!settings) {
        std::cerr << settings.error().peer << ":\n" << settings.error().cause << '\n';
        return exitSettings;
    }
    configureLog(levelOf(settings.value().logLevel));
    logEvent(LogLevel::Info, "node.starting", {{"settings", settingsFile}});
    const auto ran = runNode(settings.value(), settingsFile, deployment);
    if (ran)
        return exitOk;
    logError("node.failed", ran.error());
    return ran.error().step.ends_with(".bind") ? exitAddress : exitFailed;
}

int runCheckSettings(const std::string &settingsFile, bool reference, bool json)
{
    if (reference) {
        std::cout << settingsReference();
        return exitOk;
    }
    const auto settings = Settings::load(settingsFile);
    if (json) {
        boost::json::object answer{{"file", settingsFile}, {"ok", settings.has_value()}};
        if (!settings)
            answer["cause"] = settings.error().cause;
        std::cout << boost::json::serialize(answer) << '\n';
    } else if (settings) {
        std::cout << settingsFile << ": ok\n";
    } else {
        std::cerr << settingsFile << ":\n" << settings.error().cause << '\n';
    }
    return settings ? exitOk : exitSettings;
}

} // namespace lavenderthread::program
