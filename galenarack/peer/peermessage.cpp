#include <galenarack/peer/peermessage.h>

#include <algorithm>
#include <charconv>

namespace Galenarack {

void HeaderList::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> HeaderList::find(std::string_view name) const
{
    const auto field = std::ranges::find(this->fields, name, &HeaderField::name);
    if (field == this->fields.end()) {
        return std::nullopt;
    }
    return field->value;
}

void HeaderList::removeWithPrefix(std::string_view prefix)
{
    std::erase_if(this->fields, [prefix](const HeaderField &field) {
        return field.name.starts_with(prefix);
    });
}

std::optional<std::int64_t> HeaderList::findNumber(std::string_view name) const
{
    const auto text = this->find(name);
    if (!text) {
        return std::nullopt;
    }
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc() || end != text->data() + text->size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace Galenarack
