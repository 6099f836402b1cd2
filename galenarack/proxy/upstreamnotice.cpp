#include <galenarack/proxy/upstreamnotice.h>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>

namespace Galenarack {

namespace {

constexpr std::string_view leavingValue = "1";

std::string_view trimmed(std::string_view text)
{
    const absl::string_view stripped = absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size()));
    return {stripped.data(), stripped.size()};
}

bool isDigits(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, absl::ascii_isdigit);
}

/// @return the value of a decimal number without sign or exponent, or nothing
std::optional<double> parseDecimal(std::string_view text)
{
    const std::size_t point = text.find('.');
    const bool hasFraction = point != std::string_view::npos;
    double value = 0;
    if (!isDigits(text.substr(0, point)) || (hasFraction && !isDigits(text.substr(point + 1)))
        || !absl::SimpleAtod(absl::string_view(text.data(), text.size()), &value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> readLimit(const HeaderList &headers, std::string_view name)
{
    std::optional<std::string_view> value;
    for (const HeaderField &field : headers.all()) {
        if (field.name != name) {
            continue;
        }
        if (value && *value != trimmed(field.value)) {
            return std::nullopt;
        }
        value = trimmed(field.value);
    }
    const std::optional<double> limit = value ? parseDecimal(*value) : std::nullopt;
    return limit && *limit <= maxRequestLimit ? limit : std::nullopt;
}

} // namespace

UpstreamNotice UpstreamNotice::fromHeaders(const HeaderList &headers, const Dialect &dialect)
{
    UpstreamNotice notice;
    notice.limit = readLimit(headers, dialect.requestLimit);
    notice.leaving = std::ranges::any_of(headers.all(), [&dialect](const HeaderField &field) {
        return field.name == dialect.leaving && trimmed(field.value) == leavingValue;
    });
    return notice;
}

} // namespace Galenarack
