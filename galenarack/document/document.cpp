#include <galenarack/document/document.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

namespace {

/// @return the index of the row with that name, or nothing
template<typename Row>
std::optional<std::uint32_t> searchByName(const std::vector<Row> &rows, std::string_view name)
{
    const auto row = std::ranges::find(rows, name, &Row::name);
    if (row == rows.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(row - rows.begin());
}

template<typename Row>
NameIndex indexByName(const std::vector<Row> &rows)
{
    NameIndex index;
    index.reserve(rows.size());
    for (std::uint32_t i = 0; i < rows.size(); ++i) {
        index.emplace(rows[i].name, i);
    }
    return index;
}

} // namespace

void Document::buildIndexes()
{
    this->serviceIndex = indexByName(this->services);
    this->upstreamIndex = indexByName(this->upstreams);

    // Counting sort of the upstreams by service. It is stable, so the document order is kept within a service.
    this->firstOfService.assign(this->services.size() + 1, 0);
    for (const UpstreamRow &upstream : this->upstreams) {
        assert(upstream.service < this->services.size());
        ++this->firstOfService[upstream.service + 1];
    }
    for (std::size_t i = 1; i < this->firstOfService.size(); ++i) {
        this->firstOfService[i] += this->firstOfService[i - 1];
    }
    std::vector<std::uint32_t> next = this->firstOfService;
    this->upstreamsByService.resize(this->upstreams.size());
    for (std::uint32_t i = 0; i < this->upstreams.size(); ++i) {
        this->upstreamsByService[next[this->upstreams[i].service]++] = i;
    }
}

bool Document::isIndexed() const
{
    return this->firstOfService.size() == this->services.size() + 1 && this->upstreamsByService.size() == this->upstreams.size();
}

std::optional<std::uint32_t> Document::findService(std::string_view name) const
{
    return this->isIndexed() ? findIndex(this->serviceIndex, name) : searchByName(this->services, name);
}

std::optional<std::uint32_t> Document::findUpstream(std::string_view name) const
{
    return this->isIndexed() ? findIndex(this->upstreamIndex, name) : searchByName(this->upstreams, name);
}

std::span<const std::uint32_t> Document::upstreamSpan(std::uint32_t service) const
{
    assert(this->isIndexed() && service < this->services.size());
    const std::span<const std::uint32_t> all(this->upstreamsByService);
    return all.subspan(this->firstOfService[service], this->firstOfService[service + 1] - this->firstOfService[service]);
}

std::vector<std::uint32_t> Document::upstreamsOfService(std::uint32_t service) const
{
    if (this->isIndexed() && service < this->services.size()) {
        const auto span = this->upstreamSpan(service);
        return {span.begin(), span.end()};
    }
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t i = 0; i < this->upstreams.size(); ++i) {
        if (this->upstreams[i].service == service) {
            indexes.push_back(i);
        }
    }
    return indexes;
}

} // namespace Galenarack
