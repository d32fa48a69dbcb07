#include "program/OpenRequests.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

class OpenRequestsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpenRequestsTest);
    CPPUNIT_TEST(requestsAreOpenUntilTheyEnd);
    CPPUNIT_TEST(openRequestsAreEndedOnce);
    CPPUNIT_TEST(waitsAreBoundedByTheEndOfTheProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsAreOpenUntilTheyEnd()
    {
        const auto all = OpenRequests::create();
        {
            OpenRequest first = all->open(state::Instant{});
            OpenRequest second = all->open(state::Instant{});
            second.setId(state::RequestId("second"));
            second.enter(RequestStage::Queued);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), all->count());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                                 all->countByStage()[std::size_t(RequestStage::Queued)]);
            CPPUNIT_ASSERT(all->list().back().id == state::RequestId("second"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), all->count());
    }

    void openRequestsAreEndedOnce()
    {
        const auto all = OpenRequests::create();
        boost::asio::io_context context;
        int ended = 0;
        OpenRequest open = all->open(state::Instant{});
        open.onEnd(context.get_executor(), [&ended] { ++ended; });
        {
            OpenRequest answered = all->open(state::Instant{});
            answered.onEnd(context.get_executor(), [&ended] { ++ended; });
            OpenRequest answeredBefore = all->open(state::Instant{});
            answeredBefore.onEnd(context.get_executor(), [&ended] { ++ended; });
            all->endAll();
        }
        all->endAll();
        context.run();
        CPPUNIT_ASSERT_EQUAL(1, ended);
    }

    void waitsAreBoundedByTheEndOfTheProcess()
    {
        const auto all = OpenRequests::create();
        const state::Instant deadline{std::chrono::seconds(20)};
        const state::Instant end{std::chrono::seconds(10)};
        CPPUNIT_ASSERT(all->boundOf(deadline) == deadline);
        all->answerUntil(end);
        CPPUNIT_ASSERT(all->boundOf(deadline) == end);
        CPPUNIT_ASSERT(all->boundOf(state::Instant{}) == state::Instant{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenRequestsTest);

} // namespace lavenderthread::program
