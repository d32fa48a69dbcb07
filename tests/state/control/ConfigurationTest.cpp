// Tests the replicated configuration: versions only increase, resends are accepted, races have one
// winner, and the feed contains only the newest document.
#include "state/control/ControlState.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::state::control {

namespace {

struct Driver
{
    ControlState state;
    std::uint64_t index = 0;

    std::uint64_t replace(std::uint64_t version, const std::string &text)
    {
        const Answer answer =
                this->state.apply({1, ++this->index}, ReplaceConfiguration{{version, text}});
        return std::get<Accepted>(answer).version;
    }
};

} // namespace

class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(highestVersionStays);
    CPPUNIT_TEST(firstCommittedStays);
    CPPUNIT_TEST(feedContainsOnlyTheNewest);
    CPPUNIT_TEST(viewIgnoresOlderConfiguration);
    CPPUNIT_TEST(imageRestoresConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    // The answer to version 7 is lost, version 9 follows, and 7 is resent: it is accepted, since it
    // was accepted before, and 9 stays in force.
    void highestVersionStays()
    {
        Driver driver;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), driver.replace(7, "seven"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), driver.replace(9, "nine"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), driver.replace(7, "seven"));
        CPPUNIT_ASSERT_EQUAL(std::string("nine"), driver.state.view().configuration.text);
    }

    // Two operators send version 8 with different content to two nodes. The second one in the log
    // gets 8 as its answer and must not replace the document that some entries already use.
    void firstCommittedStays()
    {
        Driver driver;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), driver.replace(8, "first"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), driver.replace(8, "second"));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), driver.state.view().configuration.text);
    }

    // Many documents arrive while an entry is disconnected. If all were kept for it, they would
    // fill the member's memory; the entry needs only the last one.
    void feedContainsOnlyTheNewest()
    {
        Driver driver;
        driver.replace(1, "one");
        const std::uint64_t known = driver.state.view().version;
        for (std::uint64_t version = 2; version <= 300; ++version)
            driver.replace(version, std::string(1'000, 'x') + std::to_string(version));
        std::size_t documents = 0;
        ControlView view;
        for (const FeedPage &page : driver.state.changesSince(known)) {
            for (const FeedChange &change : page.changes)
                documents += std::holds_alternative<ConfigurationDocument>(change) ? 1 : 0;
            view = view.with(page.changes, page.to);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), documents);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(300), view.configuration.version);
        CPPUNIT_ASSERT_EQUAL(driver.state.view().version, view.version);
    }

    void viewIgnoresOlderConfiguration()
    {
        const ControlView newer = ControlView().with({ConfigurationDocument{5, "five"}}, 10);
        const ControlView after = newer.with({ConfigurationDocument{4, "four"}}, 11);
        CPPUNIT_ASSERT_EQUAL(std::string("five"), after.configuration.text);
    }

    void imageRestoresConfiguration()
    {
        Driver driver;
        driver.replace(3, "three");
        const ControlState restored({}, driver.state.image());
        CPPUNIT_ASSERT(driver.state.view() == restored.view());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace lavenderthread::state::control
