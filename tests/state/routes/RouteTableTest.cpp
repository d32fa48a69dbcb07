// Tests the route table: refused configurations, and the route that a path matches.
#include "state/routes/RouteTable.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace lavenderthread::state::routes {

namespace {

Route route(const char *name, const char *prefix, const char *service = "llm")
{
    Route made;
    made.name = name;
    made.host = "host";
    made.pathPrefix = prefix;
    made.timeout = std::chrono::milliseconds(1'000);
    made.services = {{ServiceName(service), 1}};
    return made;
}

RouteTableDraft draftOfTwo()
{
    RouteTableDraft draft;
    draft.version = 7;
    draft.services = {{ServiceName("llm"), "/health", 10, {}}, {ServiceName("app"), "", 10, {}}};
    draft.routes = {route("short", "/a/"), route("long", "/a/b/", "app")};
    draft.accounts = {{ClientAccountId("acme"), {"k1", "k2"}, 1},
                      {ClientAccountId("bell"), {"k3"}, {}}};
    return draft;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(findsAccountByKey);
    CPPUNIT_TEST(accountReplacesPriorityOfRoute);
    CPPUNIT_TEST(invalidTablesAreRefused);
    CPPUNIT_TEST(weightsDetermineTheShares);
    CPPUNIT_TEST(onlyResumableStreamsAreRepeatable);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixOfTheHostWins()
    {
        const RouteTable table = RouteTable::create(draftOfTwo()).value();
        CPPUNIT_ASSERT_EQUAL(std::string("short"), table.match("host", "/a/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("long"), table.match("host", "/a/b/x?y=1")->name);
        CPPUNIT_ASSERT(table.match("host", "/a") == nullptr);
        CPPUNIT_ASSERT(table.match("other", "/a/x") == nullptr);
        CPPUNIT_ASSERT(RouteTable().match("host", "/a/x") == nullptr);
    }

    void findsAccountByKey()
    {
        const RouteTable table = RouteTable::create(draftOfTwo()).value();
        CPPUNIT_ASSERT(table.needsKeys());
        CPPUNIT_ASSERT_EQUAL(std::string("acme"), table.accountOfKey("k2")->id.value());
        CPPUNIT_ASSERT(table.accountOfKey("") == nullptr);
        CPPUNIT_ASSERT(table.accountOfKey("k9") == nullptr);
    }

    void accountReplacesPriorityOfRoute()
    {
        const RouteTable table = RouteTable::create(draftOfTwo()).value();
        Route urgent = table.routes().front();
        urgent.priority = 3;
        CPPUNIT_ASSERT_EQUAL(1, int(table.priorityOf(urgent, ClientAccountId("acme"))));
        CPPUNIT_ASSERT_EQUAL(3, int(table.priorityOf(urgent, ClientAccountId("bell"))));
        CPPUNIT_ASSERT_EQUAL(3, int(table.priorityOf(urgent, ClientAccountId("none"))));
    }

    void invalidTablesAreRefused()
    {
        struct Case
        {
            const char *name;
            std::function<void(RouteTableDraft &)> invalidate;
        };
        const std::vector<Case> cases = {
                {"unknown service",
                 [](auto &draft) { draft.routes[0] = route("r", "/x/", "none"); }},
                {"same place", [](auto &draft) { draft.routes[1].pathPrefix = "/a/"; }},
                {"no weight", [](auto &draft) { draft.routes[0].services[0].weight = 0; }},
                {"no service", [](auto &draft) { draft.routes[0].services.clear(); }},
                {"no timeout", [](auto &draft) { draft.routes[0].timeout = {}; }},
                {"shared key", [](auto &draft) { (*draft.accounts)[1].keys.push_back("k1"); }},
                {"service twice", [](auto &draft) { draft.services[1].name = ServiceName("llm"); }},
        };
        for (const Case &each : cases) {
            RouteTableDraft draft = draftOfTwo();
            each.invalidate(draft);
            const auto table = RouteTable::create(std::move(draft));
            CPPUNIT_ASSERT_MESSAGE(each.name, !table);
            CPPUNIT_ASSERT(table.error().code == ErrorCode::InvalidArgument);
        }
        CPPUNIT_ASSERT(RouteTable::create(draftOfTwo()).has_value());
    }

    void weightsDetermineTheShares()
    {
        const std::vector<ServiceShare> shares = {
                {ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
        std::size_t second = 0;
        constexpr std::size_t draws = 1'000;
        for (std::size_t each = 0; each < draws; ++each)
            second += pickService(shares, double(each) / draws).value() == "b" ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), second);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), pickService(shares, 1).value());
    }

    void onlyResumableStreamsAreRepeatable()
    {
        Route stream = route("s", "/s/");
        stream.kind = CallKind::Stream;
        CPPUNIT_ASSERT(!stream.isRepeatable());
        stream.resumable = true;
        CPPUNIT_ASSERT(stream.isRepeatable());
        stream.kind = CallKind::NonIdempotent;
        CPPUNIT_ASSERT(!stream.isRepeatable());
        stream.kind = CallKind::Idempotent;
        CPPUNIT_ASSERT(stream.isRepeatable());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace lavenderthread::state::routes
