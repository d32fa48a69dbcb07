// Operators' records beside the table: client accounts, services and model versions.
#pragma once

#include "state/Ids.h"
#include "state/table/PersistentMap.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::state::table {

// Immutable. The version of every record is the log index of the edit that created it.
struct ClientAccount
{
    ClientAccountId id;
    std::string name;
    std::string bearerKeyHash; // bearerKeyHash() of the caller's key; empty locks the account out
    std::uint64_t version = 0;

    auto operator<=>(const ClientAccount &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->name, this->bearerKeyHash, this->version);
    }
};

// Calls of a plain service that must not be repeated.
struct CallPattern
{
    std::string method;     // "POST"; "*" matches every method
    std::string pathPrefix; // "/postings"; matches it and everything below it

    bool matches(std::string_view callMethod, std::string_view path) const;
    auto operator<=>(const CallPattern &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->method, this->pathPrefix);
    }
};

struct Service
{
    ServiceName name;
    std::vector<CallPattern> nonIdempotentCalls;
    std::uint64_t version = 0;

    bool isNonIdempotent(std::string_view method, std::string_view path) const;
    auto operator<=>(const Service &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->nonIdempotentCalls, this->version);
    }
};

struct ModelVersion
{
    ModelName name;
    ServiceName service;
    std::uint64_t weightBytes = 0; // bytes that a load reads from the weight store
    std::uint64_t version = 0;

    auto operator<=>(const ModelVersion &) const = default;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->service, this->weightBytes, this->version);
    }
};

struct AccountKey
{
    const ClientAccountId &operator()(const ClientAccount &account) const { return account.id; }
};
struct AccountHashKey
{
    const std::string &operator()(const ClientAccount &account) const
    {
        return account.bearerKeyHash;
    }
};
struct ServiceKey
{
    const ServiceName &operator()(const Service &service) const { return service.name; }
};
struct ModelKey
{
    const ModelName &operator()(const ModelVersion &model) const { return model.name; }
};

// Immutable value; a copy is as cheap as one of the table.
class Catalog
{
public:
    using Accounts = PersistentMap<ClientAccountId, ClientAccount, AccountKey>;
    using Services = PersistentMap<ServiceName, Service, ServiceKey>;
    using Models = PersistentMap<ModelName, ModelVersion, ModelKey>;

    const Accounts &accounts() const { return this->accountsById; }
    const Services &services() const { return this->servicesByName; }
    const Models &models() const { return this->modelsByName; }

    // The account with this key; null if there is none.
    const ClientAccount *accountOfBearerKey(std::string_view bearerKey) const;
    const ClientAccount *accountOfBearerKeyHash(const std::string &hash) const;

    // A catalog of only these accounts; for many accounts much faster than repeated withAccount().
    static Catalog fromAccounts(const std::vector<ClientAccount> &accounts);
    Catalog withAccount(const ClientAccount &account) const;
    Catalog withoutAccount(const ClientAccountId &id) const;
    Catalog withService(const Service &service) const;
    Catalog withoutService(const ServiceName &name) const;
    Catalog withModel(const ModelVersion &model) const;
    Catalog withoutModel(const ModelName &name) const;

    bool operator==(const Catalog &other) const = default;

private:
    using AccountsByHash = PersistentMap<std::string, ClientAccount, AccountHashKey>;

    Accounts accountsById;
    AccountsByHash accountsByHash; // exactly the accounts of accountsById that have a hash
    Services servicesByName;
    Models modelsByName;
};

// SHA-256 as 64 hex digits. Keys themselves are never stored, so a copied snapshot gives no access
// to an account.
std::string bearerKeyHash(std::string_view bearerKey);

} // namespace lavenderthread::state::table
