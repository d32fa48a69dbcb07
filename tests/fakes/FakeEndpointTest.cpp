// The fakes keep docs/contracts/endpoint.md, so that what passes against them means something:
// a table of calls with their statuses, whole streams checked by content, memory, and announcing.
#include "fakes/FakeEndpoint.h"
#include "fakes/HttpClient.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <map>
#include <sstream>

namespace lavenderthread::fakes {

namespace http = boost::beast::http;
namespace json = boost::json;
using http::verb;
using state::Address;

namespace {

constexpr std::chrono::seconds patience{60}; // only ever reached by a failing test

FakeEndpointSettings engineSettings()
{
    FakeEndpointSettings settings;
    state::EndpointDescription &self = settings.description;
    self.id = state::EndpointId("engine-1");
    self.address = {"127.0.0.1", 0};
    self.models = {state::ModelName("m1")};
    self.incarnation = 7;
    self.kvCapacityTokens = 1'100'000;
    self.prefillTokensPerSecond = 2'000'000;
    self.decodeTokensPerSecond = 2'000;
    self.honoursFencing = true;
    return settings;
}

std::unique_ptr<FakeEndpoint> start(FakeEndpointSettings settings)
{
    auto endpoint = FakeEndpoint::create(std::move(settings));
    CPPUNIT_ASSERT(endpoint.has_value());
    return std::move(endpoint).value();
}

Response expect(const Address &peer, const Call &request, unsigned status)
{
    const auto answer = call(peer, request, patience);
    CPPUNIT_ASSERT_MESSAGE(request.target + (answer ? "" : answer.error().describe()), answer);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(request.target + " " + answer.value().body(), status,
                                 answer.value().result_int());
    return answer.value();
}

Call completion(const std::string &stream, const std::string &prompt, std::uint64_t maxTokens,
                std::uint64_t resumeFrom = 0)
{
    const json::object body{{"prompt", prompt}, {"max_tokens", maxTokens}};
    return {verb::post,
            "/engine/streams",
            json::serialize(body),
            {{"Stream-Id", stream}, {"Resume-From", std::to_string(resumeFrom)}}};
}

// The tokens by offset; checks that there is no gap and that the last line counts them.
std::string tokensOf(const std::string &lines, std::uint64_t first)
{
    std::map<std::uint64_t, std::string> tokens;
    std::istringstream stream(lines);
    std::string line;
    bool done = false;
    while (std::getline(stream, line)) {
        const json::object object = json::parse(line).as_object();
        CPPUNIT_ASSERT_MESSAGE("a line after the last", !done);
        done = object.contains("done");
        if (done)
            CPPUNIT_ASSERT_EQUAL(first + tokens.size(),
                                 object.at("total").to_number<std::uint64_t>());
        else
            tokens[object.at("offset").to_number<std::uint64_t>()] =
                    std::string(object.at("token").as_string());
    }
    CPPUNIT_ASSERT(done);
    std::string text;
    std::uint64_t next = first;
    for (const auto &[offset, token] : tokens) {
        CPPUNIT_ASSERT_EQUAL(next++, offset);
        text += token;
    }
    return text;
}

std::string heldKinds(const Address &peer)
{
    std::string kinds;
    const Response answer = expect(peer, {verb::get, "/engine/held"}, 200);
    const json::value body = json::parse(answer.body());
    for (const auto &item : body.at("held").as_array())
        kinds += std::string(item.at("kind").as_string()) + " ";
    return kinds;
}

// An entry as a fake endpoint sees it; remembers which calls came, answers as told.
class FakeEntry
{
public:
    FakeEntry()
        : server(HttpServer::create({"127.0.0.1", 0}, 1, [this](const Request &request) {
                     return this->answer(request);
                 }).value())
    {}

    Address address() const { return this->server->address(); }

    // Waits until a call whose target ends so has come that often since the start.
    void await(const std::string &name, int times)
    {
        std::unique_lock lock(this->mutex);
        CPPUNIT_ASSERT_MESSAGE(name, this->came.wait_for(lock, patience, [&] {
            return this->bodies[name].size() >= static_cast<std::size_t>(times);
        }));
    }

    json::value body(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        return json::parse(this->bodies[name].back());
    }

    // The next calls of load and cache events get 404, as after a restart of the entry.
    void forget()
    {
        const std::lock_guard lock(this->mutex);
        this->known = false;
    }

private:
    Reply answer(const Request &request)
    {
        const std::lock_guard lock(this->mutex);
        const std::string target(request.target());
        const std::string name = target.substr(target.rfind('/') + 1);
        this->bodies[name].push_back(request.body());
        this->came.notify_all();
        if (name == "announce") {
            this->known = true;
            return makeReply(http::status::ok,
                             R"({"renew_after_ms":600000,"expires_after_ms":900000,"owner":""})");
        }
        return this->known ? makeReply(http::status::no_content)
                           : makeProblem(http::status::not_found, "announce first");
    }

    std::mutex mutex;
    std::condition_variable came;
    std::map<std::string, std::vector<std::string>> bodies;
    bool known = false;
    std::unique_ptr<HttpServer> server;
};

} // namespace

class FakeEndpointTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakeEndpointTest);
    CPPUNIT_TEST(answersByTheContract);
    CPPUNIT_TEST(streamsWholeAnswers);
    CPPUNIT_TEST(givesMillionTokenPromptItsAnswer);
    CPPUNIT_TEST(freesMemoryOnEveryWayOut);
    CPPUNIT_TEST(honoursOrIgnoresFencing);
    CPPUNIT_TEST(givesShortPromptThePriority);
    CPPUNIT_TEST(leavesGapsInCacheEvents);
    CPPUNIT_TEST(announcesAgainAfterRestartOfEntry);
    CPPUNIT_TEST(countsRunsOfPlainService);
    CPPUNIT_TEST_SUITE_END();

public:
    void answersByTheContract()
    {
        const auto engine = start(engineSettings());
        struct Row
        {
            verb method;
            const char *target;
            const char *body;
            unsigned status;
        };
        const Row rows[] = {
                {verb::get, "/engine/streams/none", "", 404},
                {verb::delete_, "/engine/streams/none", "", 404},
                {verb::post, "/engine/streams", "{", 400},
                {verb::post, "/engine/streams", R"({"prompt":"no id"})", 400},
                {verb::post, "/engine/reservations",
                 R"({"lease":"r","tokens":1000,"ttl_ms":60000})", 201},
                {verb::post, "/engine/reservations",
                 R"({"lease":"r","tokens":2000,"ttl_ms":60000})", 201},
                {verb::post, "/engine/reservations",
                 R"({"lease":"s","tokens":1099000,"ttl_ms":60000})", 507},
                {verb::delete_, "/engine/reservations/r", "", 204},
                {verb::delete_, "/engine/reservations/r", "", 404},
                {verb::post, "/engine/kv/import",
                 R"({"lease":"i","source":"127.0.0.1:1","source_lease":"e","from":0,"to":500})",
                 201},
                {verb::post, "/engine/kv/export",
                 R"({"lease":"e","stream":"none","from":0,"to":5,"ttl_ms":1000})", 404},
                {verb::delete_, "/engine/kv/i", "", 204},
                {verb::delete_, "/engine/kv/i", "", 404},
                {verb::get, "/engine/state", "", 200},
                {verb::get, "/engine/nothing", "", 404},
                {verb::get, "/", "", 404},
        };
        for (const Row &row : rows)
            expect(engine->address(), {row.method, row.target, row.body}, row.status);
        const std::string big(maximumBodyBytes + 1, 'x');
        expect(engine->address(), {verb::post, "/engine/streams", big}, 413);
    }

    void streamsWholeAnswers()
    {
        for (const bool crossed : {false, true}) {
            FakeEndpointSettings settings = engineSettings();
            settings.crossed = crossed;
            settings.refuseEvery = 4;
            const auto engine = start(settings);
            const ExpectedAnswer answer("hello there");
            const auto peer = engine->address();

            Response whole = expect(peer, completion("s1", "hello there", 20), 200);
            CPPUNIT_ASSERT_EQUAL(answer.text(0, 20), tokensOf(whole.body(), 0));
            Response again = expect(peer, {verb::get, "/engine/streams/s1?from=15"}, 200);
            CPPUNIT_ASSERT_EQUAL(answer.text(15, 20), tokensOf(again.body(), 15));
            Response resumed = expect(peer, completion("s2", "hello there", 20, 8), 200);
            CPPUNIT_ASSERT_EQUAL(answer.text(8, 20), tokensOf(resumed.body(), 8));
            expect(peer, completion("s1", "hello there", 20), 409);
            const Response refused = expect(peer, completion("s4", "hello there", 20), 503);
            CPPUNIT_ASSERT(!refused["Retry-After"].empty());
            CPPUNIT_ASSERT_EQUAL(std::string(), heldKinds(peer));
        }
    }

    void givesMillionTokenPromptItsAnswer()
    {
        const auto engine = start(engineSettings());
        const std::string prompt(4'000'000, 'p');
        const Response whole = expect(engine->address(), completion("big", prompt, 3), 200);
        CPPUNIT_ASSERT_EQUAL(ExpectedAnswer(prompt).text(0, 3), tokensOf(whole.body(), 0));
        const std::string tooBig(5'000'000, 'p');
        expect(engine->address(), completion("over", tooBig, 3), 503);
    }

    // The caller goes away, cancels, or lets the deadline pass; each time the memory must come back
    // without the caller's doing. The engine holds a stream's memory until it ends, and a lease's
    // until it is freed or its time is over.
    void freesMemoryOnEveryWayOut()
    {
        Engine engine(EngineSettings{1'000, 10'000, 10, 4, 0});
        const auto at = [](int milliseconds) {
            return state::Instant(std::chrono::milliseconds(milliseconds));
        };
        const std::string prompt(1'200, 'a'); // 300 tokens
        engine.start({"cancelled", prompt, 100}, at(0));
        engine.start({"late", prompt, 100, 0, 5, std::chrono::milliseconds(50)}, at(0));
        engine.start({"finished", std::string(40, 'b'), 1}, at(0));
        CPPUNIT_ASSERT(!engine.reserve("r", 800, std::chrono::seconds(1), at(0)));
        CPPUNIT_ASSERT(engine.reserve("r", 100, std::chrono::milliseconds(40), at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{400 + 400 + 11 + 100}, engine.load().kvUsedTokens);

        CPPUNIT_ASSERT(engine.cancel("cancelled", at(10)));
        CPPUNIT_ASSERT(engine.read("cancelled", 0, at(10))->cut);
        engine.advance(at(100));
        CPPUNIT_ASSERT(engine.read("late", 0, at(100))->cut);
        CPPUNIT_ASSERT(engine.read("finished", 0, at(100))->done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, engine.load().kvUsedTokens);

        // A reservation under the stream's id is taken over by it, so that it never counts twice.
        CPPUNIT_ASSERT(engine.reserve("planned", 400, std::chrono::seconds(9), at(100)));
        engine.start({"planned", prompt, 100}, at(110));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{400}, engine.load().kvUsedTokens);
        // A span holds only its own part of a prompt that is larger than the memory.
        const std::string large(8'000, 'c'); // 2 000 tokens
        StreamRequest span{"span", large, 10};
        CPPUNIT_ASSERT(engine.start(span, at(120)) == Engine::Admission::Full);
        span.span = Span{0, 500};
        CPPUNIT_ASSERT(engine.start(span, at(120)) == Engine::Admission::Accepted);
        CPPUNIT_ASSERT(engine.read("span", 0, at(400))->done);
        CPPUNIT_ASSERT(engine.pin("export", 500, std::chrono::seconds(1), at(400)));
        CPPUNIT_ASSERT(!engine.read("span", 0, at(31'000)).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, engine.load().kvUsedTokens);
    }

    void honoursOrIgnoresFencing()
    {
        for (const bool honours : {true, false}) {
            FakeEndpointSettings settings = engineSettings();
            settings.description.honoursFencing = honours;
            const auto engine = start(settings);
            const auto order = [&](int term, const char *kind, unsigned status) {
                const json::object body{{"order", "o"},
                                        {"kind", kind},
                                        {"model", "m2"},
                                        {"fencing", {{"term", term}, {"index", 4}}}};
                expect(engine->address(), {verb::post, "/engine/orders", json::serialize(body)},
                       status);
            };
            order(2, "load", 200);
            order(1, "unload", honours ? 409 : 200);
            order(2, "drain", 200);
            const Response state = expect(engine->address(), {verb::get, "/engine/state"}, 200);
            const json::value body = json::parse(state.body());
            CPPUNIT_ASSERT_EQUAL(honours ? std::size_t{2} : std::size_t{1},
                                 body.at("models").as_array().size());
            expect(engine->address(), completion("s", "drained", 2), 503);
            order(2, "undrain", 200);
            expect(engine->address(), completion("s", "drained", 2), 200);
        }
    }

    void givesShortPromptThePriority()
    {
        Engine engine(EngineSettings{100'000, 1'000, 100, 4, 0});
        const state::Instant start{};
        engine.start({"long", std::string(40'000, 'a'), 2, 0, 9}, start);
        engine.start({"short", std::string(400, 'b'), 2, 0, 0}, start);
        const auto soon = start + std::chrono::milliseconds(200);
        CPPUNIT_ASSERT(engine.read("short", 0, soon)->done);
        CPPUNIT_ASSERT(engine.read("long", 0, soon)->tokens.empty());
        CPPUNIT_ASSERT(engine.read("long", 0, start + std::chrono::seconds(12))->done);
    }

    void leavesGapsInCacheEvents()
    {
        Engine engine(EngineSettings{3 * blockTokens, 100'000, 1'000, 4, 2});
        const state::Instant start{};
        engine.start({"a", std::string(2 * blockBytes, 'a'), 1}, start);
        engine.advance(start + std::chrono::seconds(1));
        engine.start({"b", std::string(2 * blockBytes, 'b'), 1}, start + std::chrono::seconds(1));
        engine.advance(start + std::chrono::seconds(2));
        // Four stored and one evicted; the second and the fourth are lost.
        const auto batches = engine.takeCacheEvents();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, batches.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, batches[2].firstSequence);
        CPPUNIT_ASSERT(batches[2].events[0].kind == CacheEvent::Kind::Evicted);
        // The tail goes first; the head alone is still worth something.
        CPPUNIT_ASSERT_EQUAL(blockHashes(std::string(2 * blockBytes, 'a'))[1],
                             batches[2].events[0].block);
    }

    // The endpoint's first entry is dead and the second one restarts and knows nobody. The endpoint
    // goes on to the second at start, and announces itself again when its load gets 404; otherwise
    // it would stay out of use until its renewal is due.
    void announcesAgainAfterRestartOfEntry()
    {
        FakeEntry entry;
        FakeEndpointSettings settings = engineSettings();
        settings.entries = {{"127.0.0.1", 1}, entry.address()};
        settings.reportLag = std::chrono::milliseconds(150);
        const auto engine = start(settings);
        entry.await("load", 1);
        CPPUNIT_ASSERT_EQUAL(engine->address().toString(),
                             std::string(entry.body("announce").at("address").as_string()));
        expect(engine->address(), completion("s", std::string(blockBytes, 'q'), 2), 200);
        entry.await("cache-events", 1);
        entry.forget();
        entry.await("announce", 2);
        engine->leave();
        entry.await("leave", 1);
    }

    void countsRunsOfPlainService()
    {
        FakeEndpointSettings settings = engineSettings();
        settings.description.kind = state::EndpointKind::PlainService;
        settings.delay = std::chrono::milliseconds(1);
        const auto service = start(settings);
        const Call posting{verb::post, "/postings?x=1", "{}", {{"Idempotency-Key", "k"}}};
        expect(service->address(), posting, 200);
        const Response second = expect(service->address(), posting, 200);
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"path":"/postings?x=1","key":"k","run":2})"),
                             second.body());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, service->plainService().runs("/postings?x=1", "k"));
        const Response counts = expect(service->address(), {verb::get, "/fake/counts"}, 200);
        CPPUNIT_ASSERT_EQUAL(std::string(R"([{"path":"/postings?x=1","key":"k","runs":2}])"),
                             counts.body());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeEndpointTest);

} // namespace lavenderthread::fakes
