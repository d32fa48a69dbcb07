// Tests defaults, and invalid settings files: each error names the path and the allowed values.
#include "program/Settings.h"
#include "program/SettingsSchema.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

namespace {

constexpr const char *good = R"({"cluster":{"name":"c","keys":["k"]},
    "vm":{"id":"v","failure_domain":"f"},"entry":{"listen":"127.0.0.1:1"}MORE})";

std::string with(const std::string &extra)
{
    std::string text = good;
    return text.replace(text.find("MORE"), 4, extra);
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(defaultsAreFilledIn);
    CPPUNIT_TEST(invalidSettingsAreRejected);
    CPPUNIT_TEST(everyRuleIsInTheReference);
    CPPUNIT_TEST_SUITE_END();

public:
    void defaultsAreFilledIn()
    {
        const auto settings = Settings::parse(with(""), "f");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT(settings.value().entry.directoryTtl == std::chrono::seconds(5));
        CPPUNIT_ASSERT(!settings.value().controlBootstrap);
        CPPUNIT_ASSERT(!settings.value().gossipListen);
        CPPUNIT_ASSERT(!settings.value().rankedOverload);
        const auto ranked = Settings::parse(with(R"(,"overload":{"control":"ranked"})"), "f");
        CPPUNIT_ASSERT(ranked.value().rankedOverload);
    }

    void invalidSettingsAreRejected()
    {
        const std::pair<const char *, const char *> cases[] = {
                {R"(,"entri":{})", "entri: unknown setting"},
                {R"(,"control":{"listen":"1.2.3.4:5"})", "control.data_folder: needed"},
                {R"(,"accounts":[{"id":"a","key":"short"}])",
                 "accounts[0].key: expected text of 8 to 256 characters"},
                {R"(,"accounts":[{"id":"a","key":"12345678"},{"id":"a","key":"23456789"}])",
                 "a is listed twice"},
                {R"(,"accounts":{})", "accounts: expected a list of objects"},
                {R"(,"accounts":[7])", "accounts[0]: expected an object"},
                {R"(,"gossip":7)", "gossip: expected an object"},
                {R"(,"endpoint":{"renew_ms":9000,"expire_ms":5000})", "must be more than"},
                {R"(,"endpoint":{"renew_ms":1.5})", "endpoint.renew_ms: expected integer from 50"},
                {R"(,"overload":{"control":"fastest"})", "overload.control: expected arrival"},
                {R"(,"log":{"level":"loud"})", "log.level: expected debug"},
                {R"(,"control":{"bootstrap":"yes"})", "control.bootstrap: expected true or false"},
        };
        for (const auto &[extra, message] : cases) {
            const auto settings = Settings::parse(with(extra), "vm.json");
            CPPUNIT_ASSERT_MESSAGE(extra, settings.has_error());
            CPPUNIT_ASSERT_EQUAL(std::string("vm.json"), settings.error().peer);
            CPPUNIT_ASSERT_MESSAGE(settings.error().cause,
                                   settings.error().cause.find(message) != std::string::npos);
        }
        CPPUNIT_ASSERT(Settings::parse("{", "f").error().step == "settings.parse");
    }

    void everyRuleIsInTheReference()
    {
        const std::string page = settingsReference();
        for (const SettingRule &rule : settingRules())
            CPPUNIT_ASSERT_MESSAGE(rule.path,
                                   page.find("`" + rule.path + "`") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace lavenderthread::program
