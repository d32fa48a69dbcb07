// Looks up records of the catalog and creates changed copies.
#include "state/table/Catalog.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace lavenderthread::state::table {

bool CallPattern::matches(std::string_view callMethod, std::string_view path) const
{
    if (this->method != "*" && this->method != callMethod)
        return false;
    if (!path.starts_with(this->pathPrefix))
        return false;
    // "/postings" matches "/postings/7" and "/postings?x=1", not "/postings-archive".
    const std::string_view rest = path.substr(this->pathPrefix.size());
    return rest.empty() || this->pathPrefix.ends_with('/') || rest.front() == '/'
           || rest.front() == '?';
}

bool Service::isNonIdempotent(std::string_view method, std::string_view path) const
{
    return std::any_of(this->nonIdempotentCalls.begin(), this->nonIdempotentCalls.end(),
                       [&](const CallPattern &call) { return call.matches(method, path); });
}

const ClientAccount *Catalog::accountOfBearerKey(std::string_view bearerKey) const
{
    return this->accountOfBearerKeyHash(bearerKeyHash(bearerKey));
}

const ClientAccount *Catalog::accountOfBearerKeyHash(const std::string &hash) const
{
    return this->accountsByHash.find(hash);
}

Catalog Catalog::fromAccounts(const std::vector<ClientAccount> &accounts)
{
    std::vector<ClientAccount> withKeys;
    for (const ClientAccount &account : accounts) {
        if (!account.bearerKeyHash.empty())
            withKeys.push_back(account);
    }
    Catalog catalog;
    catalog.accountsById = Accounts::fromValues(accounts);
    catalog.accountsByHash = AccountsByHash::fromValues(std::move(withKeys));
    return catalog;
}

Catalog Catalog::withAccount(const ClientAccount &account) const
{
    Catalog next = this->withoutAccount(account.id);
    next.accountsById = next.accountsById.with(account);
    if (!account.bearerKeyHash.empty())
        next.accountsByHash = next.accountsByHash.with(account);
    return next;
}

Catalog Catalog::withoutAccount(const ClientAccountId &id) const
{
    Catalog next(*this);
    const ClientAccount *known = this->accountsById.find(id);
    if (known == nullptr)
        return next;
    next.accountsByHash = next.accountsByHash.without(known->bearerKeyHash);
    next.accountsById = next.accountsById.without(id);
    return next;
}

Catalog Catalog::withService(const Service &service) const
{
    Catalog next(*this);
    next.servicesByName = next.servicesByName.with(service);
    return next;
}

Catalog Catalog::withoutService(const ServiceName &name) const
{
    Catalog next(*this);
    next.servicesByName = next.servicesByName.without(name);
    return next;
}

Catalog Catalog::withModel(const ModelVersion &model) const
{
    Catalog next(*this);
    next.modelsByName = next.modelsByName.with(model);
    return next;
}

Catalog Catalog::withoutModel(const ModelName &name) const
{
    Catalog next(*this);
    next.modelsByName = next.modelsByName.without(name);
    return next;
}

std::string bearerKeyHash(std::string_view bearerKey)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bearerKey.data()), bearerKey.size(),
           digest.data());
    constexpr std::string_view hexDigits = "0123456789abcdef";
    constexpr unsigned int bitsOfDigit = 4;
    constexpr unsigned int maskOfDigit = 15;
    std::string text;
    for (const unsigned char byte : digest) {
        text.push_back(hexDigits[byte >> bitsOfDigit]);
        text.push_back(hexDigits[byte & maskOfDigit]);
    }
    return text;
}

} // namespace lavenderthread::state::table
