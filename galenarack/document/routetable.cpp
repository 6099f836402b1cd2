#include <galenarack/document/routetable.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <span>
#include <utility>

namespace Galenarack {

bool RouteRow::isRepeatable(std::string_view method) const
{
    constexpr std::array<std::string_view, 6> idempotentMethods = {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};
    if (this->repeatable) {
        return *this->repeatable;
    }
    return std::ranges::find(idempotentMethods, method) != idempotentMethods.end();
}

bool RouteRow::allows(std::string_view method) const
{
    return this->methods.empty() || std::ranges::find(this->methods, method) != this->methods.end();
}

RouteTable::RouteTable(std::vector<RouteRow> rows)
    : rows(std::move(rows))
    , order(this->rows.size())
{
    std::iota(this->order.begin(), this->order.end(), 0U);
    std::ranges::stable_sort(this->order, {}, [this](std::uint32_t index) -> const std::string & {
        return this->rows[index].prefix;
    });
    this->byPrefix.reserve(this->rows.size());
    for (std::uint32_t i = 0; i < this->order.size(); ++i) {
        const std::string &prefix = this->rows[this->order[i]].prefix;
        PrefixEntry &entry = this->byPrefix.try_emplace(prefix, PrefixEntry{i, 0}).first->second;
        ++entry.count;
        this->hasLength.resize(std::max(this->hasLength.size(), prefix.size() + 1));
        this->hasLength[prefix.size()] = true;
    }
}

const RouteTable::PrefixEntry *RouteTable::findPrefix(std::string_view path) const
{
    // Look up the whole path, then remove one segment at a time. Lengths that no prefix has are not hashed, so the cost
    // of a path with thousands of segments is bounded by the longest prefix and not by the path.
    const std::string_view bounded = path.substr(0, std::min(path.size(), this->hasLength.size()));
    std::size_t length = bounded.size();
    while (length > 0 && length != std::string_view::npos) {
        const bool isBoundary = length == path.size() || path[length] == '/';
        if (isBoundary && length < this->hasLength.size() && this->hasLength[length]) {
            const auto entry = this->byPrefix.find(bounded.substr(0, length));
            if (entry != this->byPrefix.end()) {
                return &entry->second;
            }
        }
        length = bounded.rfind('/', length - 1);
    }
    const auto root = this->byPrefix.find(std::string_view("/"));
    return root == this->byPrefix.end() ? nullptr : &root->second;
}

const RouteRow *RouteTable::find(std::string_view path) const
{
    const PrefixEntry *entry = this->findPrefix(path);
    return entry == nullptr ? nullptr : &this->rows[this->order[entry->first]];
}

const RouteRow *RouteTable::find(std::string_view path, std::string_view method) const
{
    const PrefixEntry *entry = this->findPrefix(path);
    if (entry == nullptr) {
        return nullptr;
    }
    const auto candidates = std::span(this->order).subspan(entry->first, entry->count);
    const auto allowed = std::ranges::find_if(candidates, [this, method](std::uint32_t index) {
        return this->rows[index].allows(method);
    });
    return &this->rows[allowed == candidates.end() ? candidates.front() : *allowed];
}

} // namespace Galenarack
