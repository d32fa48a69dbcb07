// Routes, headers and bodies of the engine's calls.
#include "fakes/EngineRoutes.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <charconv>
#include <memory>
#include <stdexcept>
#include <utility>

namespace lavenderthread::fakes {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::uint64_t defaultMaxTokens = 16;
constexpr std::uint64_t defaultPriority = 5;
constexpr std::uint64_t maximumPriority = 9;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (problem != std::errc() || end != text.data() + text.size())
        throw std::invalid_argument("not a number: " + std::string(text));
    return number;
}

std::optional<std::uint64_t> numberHeader(const Request &request, std::string_view name)
{
    const auto found = request.find(name);
    if (found == request.end())
        return std::nullopt;
    return parseNumber(found->value());
}

std::uint64_t number(const json::value &body, std::string_view name)
{
    return body.at(name).to_number<std::uint64_t>();
}

std::string text(const json::value &body, std::string_view name)
{
    const auto *found = body.as_object().if_contains(name);
    return found == nullptr ? std::string() : std::string(found->as_string());
}

std::optional<state::Duration> ttlOf(const json::value &body)
{
    if (!body.as_object().contains("ttl_ms"))
        return std::nullopt;
    return std::chrono::milliseconds(number(body, "ttl_ms"));
}

// "Span: FROM-TO" limits the stream to that part of the prompt.
std::optional<Span> spanOf(const Request &request)
{
    const auto found = request.find("Span");
    if (found == request.end())
        return std::nullopt;
    const std::string_view value = found->value();
    const auto dash = value.find('-');
    if (dash == std::string_view::npos)
        throw std::invalid_argument("Span must be FROM-TO");
    const Span span{parseNumber(value.substr(0, dash)), parseNumber(value.substr(dash + 1))};
    if (span.from >= span.to)
        throw std::invalid_argument("Span is empty");
    return span;
}

StreamRequest readStreamRequest(const Request &request, const std::string &bodyText)
{
    const json::value body = json::parse(bodyText);
    StreamRequest stream;
    stream.id = request["Stream-Id"];
    if (stream.id.empty())
        throw std::invalid_argument("Stream-Id is missing");
    stream.prompt = promptOf(body);
    stream.maxTokens =
            body.as_object().contains("max_tokens") ? number(body, "max_tokens") : defaultMaxTokens;
    stream.resumeFrom = numberHeader(request, "Resume-From").value_or(0);
    const auto priority = numberHeader(request, "Priority").value_or(defaultPriority);
    if (priority > maximumPriority)
        throw std::invalid_argument("Priority is over 9");
    stream.priority = static_cast<std::uint8_t>(priority);
    if (const auto left = numberHeader(request, "Deadline-Ms"))
        stream.deadline = std::chrono::milliseconds(*left);
    stream.span = spanOf(request);
    return stream;
}

std::string line(std::uint64_t offset, const std::string &token)
{
    return json::serialize(json::object{{"offset", offset}, {"token", token}}) + "\n";
}

std::string lastLine(std::uint64_t total)
{
    return json::serialize(json::object{
                   {"done", true},
                   {"total", total},
                   {"finish_reason", "length"},
           })
           + "\n";
}

// Lines as an engine behind a retrying layer might give them: some come twice, one after a newer.
std::string crossedLines(std::uint64_t first, const std::vector<std::string> &tokens)
{
    std::string lines;
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        const std::uint64_t offset = first + index;
        lines += line(offset, tokens[index]);
        if (offset % 3 == 1)
            lines += line(offset, tokens[index]);
        if (offset % 4 == 3 && index > 0)
            lines += line(offset - 1, tokens[index - 1]);
    }
    return lines;
}

json::object fencingObject(state::log::LogPosition fencing)
{
    return {{"term", fencing.term}, {"index", fencing.index}};
}

std::vector<std::string_view> splitPath(std::string_view target)
{
    std::vector<std::string_view> parts;
    target = target.substr(0, target.find('?'));
    while (!target.empty()) {
        target.remove_prefix(1);
        const auto slash = target.find('/');
        parts.push_back(target.substr(0, slash));
        target = slash == std::string_view::npos ? std::string_view() : target.substr(slash);
    }
    return parts;
}

Reply freed(bool found)
{
    return found ? makeReply(http::status::no_content)
                 : makeProblem(http::status::not_found, "unknown lease or stream");
}

} // namespace

EngineRoutes::EngineRoutes(EngineRouteSettings settings)
    : settings(std::move(settings))
    , engine(this->settings.engine)
    , orders(this->settings.models, this->settings.honoursFencing)
{}

Reply EngineRoutes::handle(const Request &request)
{
    const std::lock_guard lock(this->mutex);
    const std::string_view target = request.target();
    const auto path = splitPath(target);
    const auto method = request.method();
    const auto is = [&](http::verb verb, std::size_t length, std::string_view second) {
        return method == verb && path.size() == length && path[0] == "engine" && path[1] == second;
    };
    if (is(http::verb::post, 2, "streams"))
        return this->startStream(request);
    if (is(http::verb::get, 3, "streams")) {
        const auto from = target.find("?from=");
        return this->readStream(
                std::string(path[2]),
                from == std::string_view::npos ? 0 : parseNumber(target.substr(from + 6)));
    }
    if (is(http::verb::delete_, 3, "streams"))
        return freed(this->engine.cancel(std::string(path[2]), now()));
    if (is(http::verb::get, 2, "held"))
        return this->held();
    if (is(http::verb::get, 2, "state"))
        return this->state();
    if (is(http::verb::post, 2, "orders"))
        return this->order(request);
    if (is(http::verb::post, 2, "reservations"))
        return this->reserve(request);
    if (is(http::verb::delete_, 3, "reservations"))
        return freed(this->engine.freeLease(std::string(path[2]), LeaseKind::Reservation, now()));
    if (is(http::verb::post, 3, "kv") && (path[2] == "export" || path[2] == "import"))
        return this->pin(request, path[2] == "import");
    if (is(http::verb::delete_, 3, "kv"))
        return freed(this->engine.freeLease(std::string(path[2]), LeaseKind::Export, now()));
    return makeProblem(http::status::not_found, "no such call");
}

EngineLoad EngineRoutes::load()
{
    const std::lock_guard lock(this->mutex);
    this->engine.advance(now());
    return this->engine.load();
}

std::vector<CacheEventBatch> EngineRoutes::takeCacheEvents()
{
    const std::lock_guard lock(this->mutex);
    return this->engine.takeCacheEvents();
}

std::vector<std::string> EngineRoutes::loadedModels()
{
    const std::lock_guard lock(this->mutex);
    return this->orders.loadedModels();
}

Reply EngineRoutes::startStream(const Request &request)
{
    const auto bodyOf = request.find("Body-Of");
    const std::string *body = &request.body();
    if (bodyOf != request.end()) {
        const auto kept = this->sliceBodies.find(std::string(bodyOf->value()));
        if (kept == this->sliceBodies.end())
            return makeProblem(http::status::not_found, "the body of that stream is not kept");
        body = kept->second.get();
    }
    const StreamRequest stream = readStreamRequest(request, *body);
    if (stream.span)
        this->keepBody(stream.id, bodyOf != request.end() ? std::string(bodyOf->value()) : "",
                       request.body());
    ++this->startCalls;
    const bool refuse =
            this->settings.refuseEvery != 0 && this->startCalls % this->settings.refuseEvery == 0;
    const auto admission = refuse || !this->orders.acceptsWork()
                                   ? Engine::Admission::Full
                                   : this->engine.start(stream, now());
    if (admission == Engine::Admission::Exists)
        return makeProblem(http::status::conflict, "the stream id exists");
    if (admission == Engine::Admission::Full) {
        Reply reply = makeProblem(http::status::service_unavailable, "full or not accepting work");
        reply.response.set(http::field::retry_after, "1");
        return reply;
    }
    return this->readStream(stream.id, stream.resumeFrom);
}

void EngineRoutes::keepBody(const std::string &id, const std::string &sameAs,
                            const std::string &text)
{
    constexpr std::size_t mostBodies = 64;
    this->sliceBodies[id] = sameAs.empty() ? std::make_shared<const std::string>(text)
                                           : this->sliceBodies.at(sameAs);
    this->sliceOrder.push_back(id);
    if (this->sliceOrder.size() <= mostBodies)
        return;
    this->sliceBodies.erase(this->sliceOrder.front());
    this->sliceOrder.pop_front();
}

Reply EngineRoutes::readStream(const std::string &id, std::uint64_t from)
{
    if (!this->engine.knows(id))
        return makeProblem(http::status::not_found, "unknown stream");
    Reply reply = makeReply(http::status::ok);
    reply.response.set(http::field::content_type, "application/x-ndjson");
    reply.nextChunk = [this, id, offset = from]() mutable { return this->nextLines(id, offset); };
    return reply;
}

Chunk EngineRoutes::nextLines(const std::string &id, std::uint64_t &offset)
{
    const std::lock_guard lock(this->mutex);
    const auto part = this->engine.read(id, offset, now());
    if (!part)
        return {"", Chunk::Then::Cut};
    Chunk chunk;
    if (this->settings.crossed) {
        chunk.text = crossedLines(offset, part->tokens);
    } else {
        for (std::size_t index = 0; index < part->tokens.size(); ++index)
            chunk.text += line(offset + index, part->tokens[index]);
    }
    offset += part->tokens.size();
    if (part->cut)
        chunk.then = Chunk::Then::Cut;
    if (part->done) {
        chunk.text += lastLine(offset);
        chunk.then = Chunk::Then::Done;
    }
    return chunk;
}

Reply EngineRoutes::reserve(const Request &request)
{
    const json::value body = json::parse(request.body());
    const bool fits = this->engine.reserve(text(body, "lease"), number(body, "tokens"),
                                           ttlOf(body).value(), now());
    return fits ? makeReply(http::status::created)
                : makeProblem(http::status::insufficient_storage, "does not fit");
}

Reply EngineRoutes::pin(const Request &request, bool imported)
{
    const json::value body = json::parse(request.body());
    if (!imported && !this->engine.knows(text(body, "stream")))
        return makeProblem(http::status::not_found, "unknown stream");
    const std::uint64_t from = number(body, "from");
    const std::uint64_t to = number(body, "to");
    if (from >= to)
        return makeProblem(http::status::bad_request, "empty range");
    if (!this->engine.pin(text(body, "lease"), to - from, ttlOf(body), now()))
        return makeProblem(http::status::insufficient_storage, "does not fit");
    return makeReply(http::status::created, json::serialize(json::object{{"tokens", to - from}}));
}

Reply EngineRoutes::order(const Request &request)
{
    const json::value body = json::parse(request.body());
    const json::value &fencing = body.at("fencing");
    const Order order{text(body, "order"),
                      text(body, "kind"),
                      text(body, "model"),
                      text(body, "role"),
                      {number(fencing, "term"), number(fencing, "index")}};
    switch (this->orders.apply(order)) {
    case Orders::Outcome::Applied:
        return makeReply(http::status::ok, R"({"applied":true})");
    case Orders::Outcome::Stale:
        return makeProblem(http::status::conflict, "older fencing number");
    case Orders::Outcome::Unknown:
        break;
    }
    return makeProblem(http::status::bad_request, "unknown kind of order");
}

Reply EngineRoutes::held()
{
    this->engine.advance(now());
    json::array items;
    const auto add = [&](const std::string &lease, const char *kind, std::uint64_t tokens) {
        items.push_back(json::object{{"lease", lease}, {"kind", kind}, {"tokens", tokens}});
    };
    for (const auto &[id, tokens] : this->engine.runningStreams())
        add(id, "stream", tokens);
    for (const auto &[name, lease] : this->engine.heldLeases().all())
        add(name, lease.kind == LeaseKind::Export ? "export" : "reservation", lease.tokens);
    return makeReply(http::status::ok, json::serialize(json::object{
                                               {"incarnation", this->settings.incarnation},
                                               {"kv_used_tokens", this->engine.load().kvUsedTokens},
                                               {"held", std::move(items)},
                                       }));
}

Reply EngineRoutes::state()
{
    json::array models;
    for (const std::string &model : this->orders.loadedModels())
        models.emplace_back(model);
    return makeReply(http::status::ok,
                     json::serialize(json::object{
                             {"incarnation", this->settings.incarnation},
                             {"models", std::move(models)},
                             {"role", this->orders.currentRole()},
                             {"draining", this->orders.isDraining()},
                             {"fencing", fencingObject(this->orders.lastFencing())},
                     }));
}

state::Instant EngineRoutes::now()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return state::Instant(std::chrono::duration_cast<state::Duration>(sinceStart));
}

} // namespace lavenderthread::fakes
