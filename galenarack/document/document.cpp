#include <galenarack/document/document.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// @return the index of the row with that name, or nothing
template<typename Row>
std::optional<std::uint32_t> findByName(const std::vector<Row> &rows, std::string_view name)
{
    const auto row = std::ranges::find(rows, name, &Row::name);
    if (row == rows.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(row - rows.begin());
}

} // namespace

std::optional<std::uint32_t> Document::findService(std::string_view name) const
{
    return findByName(this->services, name);
}

std::optional<std::uint32_t> Document::findUpstream(std::string_view name) const
{
    return findByName(this->upstreams, name);
}

std::vector<std::uint32_t> Document::upstreamsOfService(std::uint32_t service) const
{
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t i = 0; i < this->upstreams.size(); ++i) {
        if (this->upstreams[i].service == service) {
            indexes.push_back(i);
        }
    }
    return indexes;
}

} // namespace Galenarack
