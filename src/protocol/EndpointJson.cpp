// Parses the calls of endpoints and checks every JSON member for presence, type and range.
#include "protocol/EndpointJson.h"

#include "state/BoundedJson.h"

#include <boost/json/value.hpp>

#include <charconv>
#include <string>

namespace lavenderthread::protocol {

namespace json = boost::json;

namespace {

constexpr std::size_t maxIdLength = 128;
constexpr std::size_t maxModels = 256;
constexpr std::size_t maxCacheEvents = 65'536;

// Reads the members of a JSON object and keeps the first error.
class MemberReader
{
public:
    MemberReader(std::string_view text, std::string step)
        : step(std::move(step))
    {
        boost::system::error_code problem;
        this->root = state::parseJson(text, problem);
        if (problem || !this->root.is_object())
            this->fail("the body must be a JSON object");
    }

    std::string text(const char *name)
    {
        const json::value *value = this->member(name);
        if (value == nullptr || !value->is_string() || value->get_string().size() > maxIdLength) {
            this->fail(std::string(name) + ": expected text of up to 128 characters");
            return {};
        }
        return std::string(value->get_string());
    }

    std::string id(const char *name)
    {
        std::string value = this->text(name);
        if (value.empty()
            || value.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                       "0123456789._-")
                       != std::string::npos)
            this->fail(std::string(name) + ": expected 1 to 128 of A-Z a-z 0-9 . _ -");
        return value;
    }

    std::uint64_t count(const char *name)
    {
        const json::value *value = this->member(name);
        if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
            this->fail(std::string(name) + ": expected an integer from 0");
            return 0;
        }
        return static_cast<std::uint64_t>(value->get_int64());
    }

    double rate(const char *name)
    {
        const json::value *value = this->member(name);
        if (value == nullptr || !value->is_number() || value->to_number<double>() < 0) {
            this->fail(std::string(name) + ": expected a number from 0");
            return 0;
        }
        return value->to_number<double>();
    }

    bool flag(const char *name)
    {
        const json::value *value = this->member(name);
        if (value == nullptr || !value->is_bool()) {
            this->fail(std::string(name) + ": expected true or false");
            return false;
        }
        return value->get_bool();
    }

    const json::array &list(const char *name, std::size_t maxElements)
    {
        static const json::array none;
        const json::value *value = this->member(name);
        if (value == nullptr || !value->is_array() || value->get_array().size() > maxElements) {
            this->fail(std::string(name) + ": expected a list of up to "
                       + std::to_string(maxElements));
            return none;
        }
        return value->get_array();
    }

    void fail(const std::string &cause)
    {
        if (this->problem.empty())
            this->problem = cause;
    }

    bool failed() const { return !this->problem.empty(); }
    state::Error error() const
    {
        return state::makeError(state::ErrorCode::InvalidArgument, this->step, this->problem);
    }

private:
    const json::value *member(const char *name) const
    {
        return this->root.is_object() ? this->root.get_object().if_contains(name) : nullptr;
    }

    std::string step;
    json::value root;
    std::string problem;
};

bool readHash(const json::value *value, std::uint64_t &hash)
{
    constexpr std::size_t hashDigits = 16;
    if (value == nullptr || !value->is_string() || value->get_string().size() != hashDigits)
        return false;
    const json::string &digits = value->get_string();
    const auto [end, problem] =
            std::from_chars(digits.data(), digits.data() + digits.size(), hash, hashDigits);
    return problem == std::errc() && end == digits.data() + digits.size();
}

bool readCacheEvent(const json::value &value, CacheEvent &event)
{
    if (!value.is_object())
        return false;
    const json::value *op = value.get_object().if_contains("op");
    if (op == nullptr || !op->is_string())
        return false;
    if (op->get_string() == "cleared")
        return true;
    event.kind =
            op->get_string() == "stored" ? CacheEvent::Kind::Stored : CacheEvent::Kind::Evicted;
    return (op->get_string() == "stored" || op->get_string() == "evicted")
           && readHash(value.get_object().if_contains("block"), event.block);
}

} // namespace

state::Result<state::EndpointDescription> parseAnnouncement(std::string_view text)
{
    MemberReader reader(text, "endpoint.announce");
    state::EndpointDescription endpoint;
    endpoint.id = state::EndpointId(reader.id("id"));
    const state::Result<state::Address> address = state::Address::parse(reader.text("address"));
    if (address)
        endpoint.address = address.value();
    else
        reader.fail("address: expected IP:PORT");
    const std::string kind = reader.text("kind");
    if (kind != "engine" && kind != "plain-service")
        reader.fail("kind: expected engine or plain-service");
    endpoint.kind =
            kind == "engine" ? state::EndpointKind::Engine : state::EndpointKind::PlainService;
    endpoint.failureDomain = state::FailureDomain(reader.text("failure_domain"));
    endpoint.service = state::ServiceName(reader.text("service"));
    for (const json::value &model : reader.list("models", maxModels)) {
        if (model.is_string())
            endpoint.models.emplace_back(std::string(model.get_string()));
        else
            reader.fail("models: expected texts");
    }
    endpoint.incarnation = reader.count("incarnation");
    endpoint.kvCapacityTokens = reader.count("kv_capacity_tokens");
    endpoint.prefillTokensPerSecond = reader.rate("prefill_tokens_per_second");
    endpoint.decodeTokensPerSecond = reader.rate("decode_tokens_per_second");
    endpoint.honoursFencing = reader.flag("honours_fencing");
    if (reader.failed())
        return reader.error();
    return endpoint;
}

state::Result<state::LoadReport> parseLoadReport(const state::EndpointId &endpoint,
                                                 std::string_view text)
{
    MemberReader reader(text, "endpoint.load");
    state::LoadReport report;
    report.endpoint = endpoint;
    report.incarnation = reader.count("incarnation");
    report.sequence = reader.count("sequence");
    report.runningRequests = static_cast<std::uint32_t>(reader.count("running_requests"));
    report.waitingRequests = static_cast<std::uint32_t>(reader.count("waiting_requests"));
    report.waitingPrefillTokens = reader.count("waiting_prefill_tokens");
    report.kvUsedTokens = reader.count("kv_used_tokens");
    if (reader.failed())
        return reader.error();
    return report;
}

state::Result<CacheEventBatch> parseCacheEvents(std::string_view text)
{
    MemberReader reader(text, "endpoint.cache-events");
    CacheEventBatch batch;
    batch.incarnation = reader.count("incarnation");
    batch.firstSequence = reader.count("first_sequence");
    for (const json::value &value : reader.list("events", maxCacheEvents)) {
        CacheEvent event;
        if (!readCacheEvent(value, event))
            reader.fail("events: expected op stored, evicted (with block) or cleared");
        batch.events.push_back(event);
    }
    if (reader.failed())
        return reader.error();
    return batch;
}

state::Result<CacheEventBatch> parseLeave(std::string_view text)
{
    MemberReader reader(text, "endpoint.leave");
    CacheEventBatch batch;
    batch.incarnation = reader.count("incarnation");
    if (reader.failed())
        return reader.error();
    return batch;
}

} // namespace lavenderthread::protocol
